package org.apricotgauge.caller;

import java.util.Optional;
import java.util.function.Predicate;
import org.apricotgauge.http.SiteDialect;
import org.eclipse.jetty.http.HttpFields;

/**
 * Decides whether a request is a nested call: one that a target of this VM makes for a request that
 * it serves.
 *
 * <p>Nested calls have priority over other requests and don't count as traffic of callers. Any
 * caller could claim that by the id alone, so the id counts only if the request that it names is
 * running at a target of this VM: a target sends its calls to the node of its own VM.
 */
final class NestedCallPolicy {

    private NestedCallPolicy() {}

    /**
     * Returns the id of the request that the call is made for; empty for a caller's request.
     *
     * @param isRunning whether a request, by its id, is running at a target of this VM
     */
    static Optional<String> parentId(
            SiteDialect dialect, HttpFields headers, Predicate<String> isRunning) {
        return dialect.parentId(headers).filter(isRunning);
    }
}

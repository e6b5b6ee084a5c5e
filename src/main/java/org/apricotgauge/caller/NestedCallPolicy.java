package org.apricotgauge.caller;

import java.util.Optional;
import java.util.function.Predicate;
import org.apricotgauge.http.SiteDialect;
import org.eclipse.jetty.http.HttpFields;

/**
 * Tells whether a request is a call that a target of this VM makes for a request that it serves.
 *
 * <p>Calls go before other work and are no traffic of callers. The id alone would let any caller
 * claim that, so it counts only if the request that it names is at work beside this node: a target
 * sends its calls to the node of its own VM.
 */
final class NestedCallPolicy {

    private NestedCallPolicy() {}

    /**
     * Returns the id of the request that the call is made for; nothing for a caller's request.
     *
     * @param atWork whether a request, by its id, is at work at a target of this VM
     */
    static Optional<String> parentId(
            SiteDialect dialect, HttpFields headers, Predicate<String> atWork) {
        return dialect.parentId(headers).filter(atWork);
    }
}

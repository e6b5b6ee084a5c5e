package org.apricotgauge.functional;

import java.util.Optional;
import java.util.OptionalLong;
import org.apricotgauge.caller.EntryOptions;
import org.apricotgauge.decision.attempt.KeyLimits;
import org.apricotgauge.decision.routing.LoadSharing;
import org.apricotgauge.http.FleetDialect;
import org.apricotgauge.http.SiteDialect;
import org.apricotgauge.http.TargetNotice;
import org.eclipse.jetty.http.HttpFields;

/** The fleet's own conventions, and a header that names the request that a call is made for. */
final class NestedCallDialect implements SiteDialect {
    static final String PARENT_ID = "Parent-Id";

    /** Header of a target that sheds a request. */
    static final String SHED = "Shed";

    private final SiteDialect mFleet = FleetDialect.INSTANCE;

    /** Returns the default options with these conventions. */
    static EntryOptions options(
            KeyLimits keyLimits, EntryOptions.TargetAccess access, LoadSharing loadSharing) {
        EntryOptions options = EntryOptions.of(keyLimits);
        return new EntryOptions(
                new NestedCallDialect(),
                access,
                options.retryPolicy(),
                options.keyLimits(),
                options.entryRetryAllowance(),
                options.guardRetryAllowance(),
                loadSharing);
    }

    @Override
    public Optional<String> parentId(HttpFields headers) {
        return Optional.ofNullable(headers.get(PARENT_ID));
    }

    @Override
    public OptionalLong timeoutMillis(HttpFields headers) {
        return mFleet.timeoutMillis(headers);
    }

    @Override
    public String requestId(HttpFields headers) {
        return mFleet.requestId(headers);
    }

    @Override
    public void addOriginHeaders(HttpFields.Mutable headers) {
        mFleet.addOriginHeaders(headers);
    }

    @Override
    public void addTargetHeaders(
            HttpFields.Mutable headers,
            String targetId,
            long remainingMillis,
            Optional<String> member) {
        mFleet.addTargetHeaders(headers, targetId, remainingMillis, member);
    }

    @Override
    public AnswerKind kindOf(HttpFields request, int status, HttpFields answer) {
        return answer.contains(SHED) ? AnswerKind.SHED : mFleet.kindOf(request, status, answer);
    }

    @Override
    public TargetNotice noticeOf(HttpFields answer) {
        return mFleet.noticeOf(answer);
    }

    @Override
    public String retryAfter(long millis) {
        return mFleet.retryAfter(millis);
    }
}

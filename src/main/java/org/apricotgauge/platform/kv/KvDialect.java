package org.apricotgauge.platform.kv;

import java.util.Locale;
import java.util.Optional;
import java.util.OptionalLong;
import org.apricotgauge.http.SiteDialect;
import org.apricotgauge.http.TargetNotice;
import org.apricotgauge.model.Checks;
import org.apricotgauge.model.Route;
import org.eclipse.jetty.http.HttpField;
import org.eclipse.jetty.http.HttpFields;
import org.eclipse.jetty.http.HttpStatus;

/**
 * The headers of the platform's callers and targets.
 *
 * <pre>{@code
 * SiteDialect dialect = new KvDialect("booking");
 * }</pre>
 */
public final class KvDialect implements SiteDialect {
    /** Path at which the platform asks a node whether callers shall be sent to it. */
    public static final String READY_PATH = "/apricotgauge/readiness";

    /** The caller's identifier of one request; targets repeat it in their answers. */
    public static final String REQUEST_ID = "X-Attempt-Id";

    /** Milliseconds left, from callers and to targets. */
    public static final String TIMEOUT = "X-Timeout-Remaining";

    /** The name of the one target that may take the request; it doesn't tell runs apart. */
    static final String TARGET_RUN = "X-Expected-Instance";

    /** Service of the VM where the request began. */
    static final String ORIGIN = "X-Caller-Service";

    /** The member on whose behalf a request comes, to targets; callers' own is dropped. */
    static final String MEMBER = "X-Tenant";

    /** A target's mark on its answers. */
    public static final String TARGET_MARK = "X-Server-Signature";

    /** On a target's refusal: the request was not run. */
    static final String NOT_RUN = "X-Not-Executed";

    /** On a target's answers: the requests a second that it takes from all nodes together. */
    static final String LIMIT = "Server-Limit";

    /** On a target's answers: it leaves and takes nothing new. */
    static final String LEAVING = "Server-Leaving";

    private static final double MILLIS_PER_SECOND = 1_000.0;

    private final String mService;

    /** Creates the dialect of a node beside a target of the service. */
    public KvDialect(String service) {
        mService = Checks.id("service", service);
    }

    @Override
    public OptionalLong timeoutMillis(HttpFields headers) {
        HttpField field = headers.getField(TIMEOUT);
        if (field == null) {
            return OptionalLong.empty();
        }
        try {
            long millis = (long) Double.parseDouble(field.getValue().strip());
            return OptionalLong.of(Math.max(1, Math.min(Route.MAX_DEADLINE_MILLIS, millis)));
        } catch (NumberFormatException e) {
            throw new IllegalArgumentException(TIMEOUT + " must be a number of milliseconds", e);
        }
    }

    @Override
    public String requestId(HttpFields headers) {
        String id = headers.get(REQUEST_ID);
        return id == null ? "" : id;
    }

    /** The id of a call is the id of the request that it is made for, a point, and its own part. */
    @Override
    public Optional<String> parentId(HttpFields headers) {
        String id = requestId(headers);
        int point = id.indexOf('.');
        return point > 0 ? Optional.of(id.substring(0, point)) : Optional.empty();
    }

    @Override
    public void addOriginHeaders(HttpFields.Mutable headers) {
        headers.put(ORIGIN, mService);
    }

    @Override
    public void addTargetHeaders(
            HttpFields.Mutable headers, String targetId, long leftMillis, Optional<String> member) {
        headers.put(TIMEOUT, leftMillis);
        headers.put(TARGET_RUN, TargetRun.nameOf(targetId));
        headers.remove(MEMBER);
        member.ifPresent(id -> headers.put(MEMBER, id));
    }

    @Override
    public AnswerKind kindOf(HttpFields request, int status, HttpFields answer) {
        String echo = answer.get(REQUEST_ID);
        if (echo != null && !echo.equals(request.get(REQUEST_ID))) {
            return AnswerKind.MISMATCHED;
        }
        if (status == HttpStatus.MISDIRECTED_REQUEST_421) {
            return AnswerKind.OTHER_TARGET;
        }
        boolean isLoad =
                status == HttpStatus.SERVICE_UNAVAILABLE_503
                        || status == HttpStatus.TOO_MANY_REQUESTS_429;
        if (isLoad && answer.contains(NOT_RUN)) {
            return AnswerKind.SHED;
        }
        boolean unmarked = echo == null || !answer.contains(TARGET_MARK);
        return HttpStatus.isSuccess(status) && unmarked ? AnswerKind.MISMATCHED : AnswerKind.ANSWER;
    }

    @Override
    public TargetNotice noticeOf(HttpFields answer) {
        return TargetNotice.of(answer.get(LEAVING), answer.getValuesList(LIMIT));
    }

    /** Returns seconds with their fraction. */
    @Override
    public String retryAfter(long millis) {
        return String.format(Locale.ROOT, "%.3f", millis / MILLIS_PER_SECOND);
    }
}

package org.apricotgauge.http;

import java.util.Optional;
import java.util.OptionalLong;
import org.apricotgauge.model.Checks;
import org.apricotgauge.model.Route;
import org.eclipse.jetty.http.HttpField;
import org.eclipse.jetty.http.HttpFields;

/**
 * The fleet's own header convention for callers and targets; see {@link HeaderNames}.
 *
 * <pre>{@code
 * SiteDialect dialect = FleetDialect.INSTANCE;
 * }</pre>
 */
public final class FleetDialect implements SiteDialect {
    /** The only instance; it has no state. */
    public static final FleetDialect INSTANCE = new FleetDialect();

    private static final long MILLIS_PER_SECOND = 1_000;

    private FleetDialect() {}

    @Override
    public OptionalLong timeoutMillis(HttpFields headers) {
        HttpField field = headers.getField(HeaderNames.TIMEOUT_MILLIS);
        if (field == null) {
            return OptionalLong.empty();
        }
        try {
            long millis = Long.parseLong(field.getValue().strip());
            Checks.inRange(HeaderNames.TIMEOUT_MILLIS, millis, 1, Route.MAX_DEADLINE_MILLIS);
            return OptionalLong.of(millis);
        } catch (NumberFormatException e) {
            throw new IllegalArgumentException(
                    HeaderNames.TIMEOUT_MILLIS + " must be whole milliseconds", e);
        }
    }

    @Override
    public String requestId(HttpFields headers) {
        return "";
    }

    @Override
    public void addOriginHeaders(HttpFields.Mutable headers) {}

    @Override
    public void addTargetHeaders(
            HttpFields.Mutable headers,
            String targetId,
            long remainingMillis,
            Optional<String> member) {
        headers.put(HeaderNames.TIMEOUT_MILLIS, remainingMillis);
        member.ifPresent(id -> headers.put(HeaderNames.MEMBER, id));
    }

    @Override
    public Optional<String> declaredMember(HttpFields headers) {
        String member = headers.get(HeaderNames.MEMBER);
        return member == null
                ? Optional.empty()
                : Optional.of(Checks.id(HeaderNames.MEMBER, member));
    }

    @Override
    public AnswerKind kindOf(HttpFields request, int status, HttpFields answer) {
        return AnswerKind.ANSWER;
    }

    @Override
    public TargetNotice noticeOf(HttpFields answer) {
        return TargetNotice.of(
                answer.get(HeaderNames.TARGET_LEAVING),
                answer.getValuesList(HeaderNames.TARGET_LIMIT));
    }

    /** Returns whole seconds, as RFC 9110 section 10.2.3 requires, rounded up. */
    @Override
    public String retryAfter(long millis) {
        return Long.toString((millis + MILLIS_PER_SECOND - 1) / MILLIS_PER_SECOND);
    }
}

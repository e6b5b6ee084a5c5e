package org.apricotgauge.platform.kv;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.util.Optional;
import org.apricotgauge.http.SiteDialect.AnswerKind;
import org.apricotgauge.model.StartLimit;
import org.eclipse.jetty.http.HttpFields;
import org.junit.jupiter.api.Test;

/** The headers of the platform's callers and targets. */
class KvDialectTest {
    private final KvDialect mDialect = new KvDialect("booking");
    private final HttpFields mRequest = HttpFields.build().put("X-Attempt-Id", "one");

    @Test
    void aCallBearsTheIdOfTheRequestThatItIsMadeFor() {
        HttpFields call = HttpFields.build().put("X-Attempt-Id", "a8abaea6.2345ead5");
        HttpFields request = HttpFields.build().put("X-Attempt-Id", "a8abaea6");

        assertThat(mDialect.parentId(call)).contains("a8abaea6");
        assertThat(mDialect.parentId(request)).isEmpty();
    }

    @Test
    void anAnswerToAnotherRequestIsForeign() {
        // A target's second answer to the request before arrives where the next one is expected.
        assertThat(kind(200, "X-Attempt-Id", "zero", "X-Server-Signature", "s"))
                .isEqualTo(AnswerKind.MISMATCHED);
        assertThat(kind(503, "X-Attempt-Id", "zero", "X-Not-Executed", "1"))
                .isEqualTo(AnswerKind.MISMATCHED);
    }

    @Test
    void aSuccessNeedsTheTargetsMark() {
        assertThat(kind(200, "X-Attempt-Id", "one")).isEqualTo(AnswerKind.MISMATCHED);
        assertThat(kind(200, "X-Server-Signature", "s")).isEqualTo(AnswerKind.MISMATCHED);
        assertThat(kind(200, "X-Attempt-Id", "one", "X-Server-Signature", "s"))
                .isEqualTo(AnswerKind.ANSWER);
    }

    @Test
    void onlyAMarkedRefusalProvesThatNothingRan() {
        assertThat(kind(503, "X-Not-Executed", "1")).isEqualTo(AnswerKind.SHED);
        assertThat(kind(429, "X-Not-Executed", "1")).isEqualTo(AnswerKind.SHED);
        assertThat(kind(503, "X-Attempt-Id", "one")).isEqualTo(AnswerKind.ANSWER);
        assertThat(kind(500, "X-Attempt-Id", "one")).isEqualTo(AnswerKind.ANSWER);
        assertThat(kind(421, "X-Instance-Id", "i-2")).isEqualTo(AnswerKind.OTHER_TARGET);
    }

    @Test
    void theOriginIsWrittenOverWhatACallerClaims() {
        HttpFields.Mutable headers = HttpFields.build().put("X-Caller-Service", "forged");

        mDialect.addOriginHeaders(headers);

        assertThat(headers.getValuesList("X-Caller-Service")).containsExactly("booking");
    }

    @Test
    void aTargetIsToldWhichRunIsMeantAndWhatIsLeft() {
        HttpFields.Mutable headers =
                HttpFields.build()
                        .put("X-Timeout-Remaining", "9000")
                        .put("X-Expected-Instance", "x");

        mDialect.addTargetHeaders(headers, "i-1", 250, Optional.empty());

        assertThat(headers.getValuesList("X-Timeout-Remaining")).containsExactly("250");
        assertThat(headers.getValuesList("X-Expected-Instance")).containsExactly("i-1");
    }

    // Guards against a caller that is served as another member by writing that one's name.
    @Test
    void aTargetIsToldTheMemberAndNeverWhatTheCallerWrote() {
        HttpFields.Mutable headers =
                HttpFields.build().add("x-tenant", "forged").add("X-TENANT", "forged too");

        mDialect.addTargetHeaders(headers, "i-1", 250, Optional.of("stable"));
        assertThat(headers.getValuesList("X-Tenant")).containsExactly("stable");

        mDialect.addTargetHeaders(headers, "i-1", 250, Optional.empty());
        assertThat(headers.contains("X-Tenant")).isFalse();
    }

    @Test
    void aMemberIsNamedByItsKeyAlone() {
        HttpFields forged = HttpFields.build().put("Apricotgauge-Member", "stable");

        assertThat(mDialect.declaredMember(forged)).isEmpty();
    }

    @Test
    void readsTheCallersTimeAndNamesTheHeaderAtFault() {
        assertThat(mDialect.timeoutMillis(HttpFields.EMPTY)).isEmpty();
        assertThat(mDialect.timeoutMillis(HttpFields.build().put("X-Timeout-Remaining", "1500")))
                .hasValue(1_500);
        HttpFields bad = HttpFields.build().put("X-Timeout-Remaining", "soon");
        assertThatThrownBy(() -> mDialect.timeoutMillis(bad))
                .hasMessageContaining("X-Timeout-Remaining");
    }

    @Test
    void aCallerMayComeBackAfterAFractionOfASecond() {
        assertThat(mDialect.retryAfter(250)).isEqualTo("0.250");
    }

    private AnswerKind kind(int status, String... headers) {
        HttpFields.Mutable answer = HttpFields.build();
        for (int i = 0; i < headers.length; i += 2) {
            answer.put(headers[i], headers[i + 1]);
        }
        return mDialect.kindOf(mRequest, status, answer);
    }

    @Test
    void aTargetsWordThatItLeavesIsRead() {
        KvDialect dialect = new KvDialect("booking");

        assertThat(dialect.noticeOf(HttpFields.build().put("Server-Leaving", "1")).leaving())
                .isTrue();
        assertThat(dialect.noticeOf(HttpFields.build().put("Server-Leaving", "0")).leaving())
                .isFalse();
        assertThat(dialect.noticeOf(HttpFields.EMPTY).leaving()).isFalse();
    }

    @Test
    void aTargetsLimitIsRead() {
        HttpFields named = HttpFields.build().put("Server-Limit", "2.7");
        HttpFields twice = HttpFields.build().add("Server-Limit", "2.7").add("Server-Limit", "1");
        HttpFields wrong = HttpFields.build().put("Server-Limit", "-1");
        KvDialect dialect = new KvDialect("booking");

        assertThat(dialect.noticeOf(named).limit()).contains(new StartLimit(2.7));
        assertThat(dialect.noticeOf(twice).limit()).contains(new StartLimit(1));
        assertThat(dialect.noticeOf(wrong).limit()).isEmpty();
        assertThat(dialect.noticeOf(wrong).unreadable()).isPresent();
        assertThat(dialect.noticeOf(HttpFields.EMPTY).limit()).isEmpty();
    }
}

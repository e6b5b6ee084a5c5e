package org.apricotgauge.functional;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.io.UncheckedIOException;
import org.junit.jupiter.api.Test;

/** Targets that say in their answers that they leave, while nothing else tells of it. */
class LeavingAnswerTest {

    /** Guards against work for a target that leaves, which the platform still calls ready. */
    @Test
    void aTargetThatSaysItLeavesGetsNothingNewFromAnyEntry() throws Exception {
        try (RawTarget target = RawTarget.start(leaving());
                Hops hops = new Hops("a", "b", "c").target("t", "b", target.port(), 2)) {
            assertThat(get(hops, "a")).startsWith("HTTP/1.1 200");

            for (String entry : new String[] {"a", "c", "b", "c"}) {
                assertThat(get(hops, entry)).startsWith("HTTP/1.1 503").contains("not-run");
            }
            assertThat(target.runs()).isEqualTo(1);
            assertThat(hops.vm("c").toldLeaving()).containsExactly("t");
        }
    }

    /** Guards against work past the guards for a target that this entry knows to leave. */
    @Test
    void aTargetWithoutAGuardGetsNothingNewFromAnEntryThatWasTold() throws Exception {
        try (RawTarget target = RawTarget.start(leaving());
                Hops hops = new Hops("a").target("t", "bare", target.port(), 2)) {
            assertThat(get(hops, "a")).startsWith("HTTP/1.1 200");

            assertThat(get(hops, "a")).startsWith("HTTP/1.1 503").contains("not-run");
            assertThat(target.runs()).isEqualTo(1);
        }
    }

    private static RawTarget.Script leaving() {
        return RawTarget.always(
                "HTTP/1.1 200 OK\r\nApricotgauge-Target-Leaving: 1\r\nContent-Length: 0\r\n\r\n");
    }

    private static String get(Hops hops, String vm) {
        try (RawCaller caller = new RawCaller(hops.vm(vm).callerPort())) {
            return caller.request("GET", "/any", "Apricotgauge-Timeout-Millis: 2000").readAll();
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }
}

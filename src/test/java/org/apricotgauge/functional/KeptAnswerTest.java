package org.apricotgauge.functional;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

/** Failed answers of targets, and what becomes of them while another target is tried. */
class KeptAnswerTest {
    private static final String FAILED =
            "HTTP/1.1 500 Server Error\r\nContent-Length: 6\r\nX-Mark: target\r\n\r\nbroken";

    @Test
    void aLookupThatOneTargetFailsIsAnsweredByAnother() throws Exception {
        // The caller asks for something that may repeat. The first target fails it for reasons of
        // its own; its neighbour would have served it.
        try (RawTarget sick = RawTarget.start(RawTarget.always(FAILED));
                RawTarget well =
                        RawTarget.start(
                                RawTarget.always(
                                        "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"));
                Hops hops =
                        new Hops("a", "b", "c")
                                .target("sick", "b", sick.port(), 3)
                                .target("well", "c", well.port(), 3)) {
            for (int i = 0; i < 10; i++) {
                try (RawCaller caller = new RawCaller(hops.vm("a").callerPort())) {
                    assertThat(caller.request("GET", "/x").readAll()).startsWith("HTTP/1.1 200");
                }
            }
        }
    }

    @Test
    void withNobodyElseToAskTheCallerGetsTheAnswerThatThereWas() throws Exception {
        // The only target fails the request. No other can be tried, and the caller is told what the
        // target said, head and body, not something of the fleet's own.
        try (RawTarget sick = RawTarget.start(RawTarget.always(FAILED));
                Hops hops = new Hops("a", "b").target("sick", "b", sick.port(), 3);
                RawCaller caller = new RawCaller(hops.vm("a").callerPort())) {

            String answer = caller.request("GET", "/x").readAll();

            assertThat(answer).startsWith("HTTP/1.1 500");
            assertThat(answer).contains("X-Mark: target").endsWith("broken");
        }
    }
}

package org.apricotgauge.bench.soak;

import java.util.HashMap;
import java.util.Map;
import java.util.SplittableRandom;
import org.apricotgauge.model.Checks;

/**
 * One request of a caller; its path tells the target how to run it.
 *
 * @param id identifier of the request
 * @param service the service that it is for
 * @param isIdempotent whether it may run more than once
 * @param timeoutMillis timeout of its route, which the caller also asks for
 * @param runMillis time from the target's start to the end of its answer
 * @param pauseMillis last part of the run, between the two halves of the body; 0 for a body in one
 *     piece
 * @param answerBytes length of the answer's body
 * @param framing how the end of the answer is told
 * @param bodyBytes length of the request's own body; 0 for a GET
 */
record PlannedRequest(
        String id,
        String service,
        boolean isIdempotent,
        int timeoutMillis,
        int runMillis,
        int pauseMillis,
        int answerBytes,
        Framing framing,
        int bodyBytes) {
    private static final String IDEMPOTENT = "lookup";
    private static final String ONCE = "order";

    PlannedRequest {
        Checks.notBlank("id", id);
        Checks.id("service", service);
        Checks.inRange("timeoutMillis", timeoutMillis, 1, Integer.MAX_VALUE);
        Checks.inRange("runMillis", runMillis, 0, Integer.MAX_VALUE);
        Checks.inRange("pauseMillis", pauseMillis, 0, runMillis);
        Checks.inRange("answerBytes", answerBytes, 2, Integer.MAX_VALUE);
        Checks.notNull("framing", framing);
        Checks.inRange("bodyBytes", bodyBytes, 0, Integer.MAX_VALUE);
    }

    /** Returns the path prefix of a service's route. */
    static String prefix(String service, boolean isIdempotent) {
        return '/' + service + '/' + (isIdempotent ? IDEMPOTENT : ONCE) + '/';
    }

    String path() {
        return prefix(service, isIdempotent)
                + id
                + "?timeout=%d&run=%d&pause=%d&size=%d&framing=%d&body=%d"
                        .formatted(
                                timeoutMillis,
                                runMillis,
                                pauseMillis,
                                answerBytes,
                                framing.ordinal(),
                                bodyBytes);
    }

    /** Reads the request back from its path. */
    static PlannedRequest ofPath(String path) {
        int query = path.indexOf('?');
        String[] parts = path.substring(1, query).split("/", 3);
        Map<String, Integer> values = new HashMap<>();
        for (String pair : path.substring(query + 1).split("&")) {
            int equals = pair.indexOf('=');
            values.put(pair.substring(0, equals), Integer.valueOf(pair.substring(equals + 1)));
        }
        return new PlannedRequest(
                parts[2],
                parts[0],
                parts[1].equals(IDEMPOTENT),
                values.get("timeout"),
                values.get("run"),
                values.get("pause"),
                values.get("size"),
                Framing.values()[values.get("framing")],
                values.get("body"));
    }

    /** Returns the body that the target answers with, which no other request has. */
    byte[] answer() {
        byte[] bytes = new byte[answerBytes];
        SplittableRandom random = new SplittableRandom(id.hashCode());
        for (int i = 0; i < bytes.length; i++) {
            bytes[i] = (byte) ('a' + random.nextInt(26));
        }
        return bytes;
    }
}

package org.apricotgauge.standin;

import java.util.List;
import org.apricotgauge.model.Address;
import org.apricotgauge.model.Checks;

/**
 * What the caller stand-in shall send.
 *
 * @param entries addresses that callers may use, taken in turn
 * @param ratePerSecond requests started each second, whatever becomes of earlier ones (open loop)
 * @param seconds how long requests are started
 * @param orderPercent share of requests that must not run twice (POST); the rest are GET
 * @param readPath path of the GET requests
 * @param orderPath path of the POST requests
 * @param answerBytes size of each answer
 * @param timeoutMillis how long a caller waits for an answer
 */
public record LoadPlan(
        List<Address> entries,
        int ratePerSecond,
        int seconds,
        int orderPercent,
        String readPath,
        String orderPath,
        int answerBytes,
        long timeoutMillis) {
    /** Stands for the request's id in a path, so that paths differ. */
    public static final String ID = "{id}";

    private static final int MAX_RATE = 200_000;
    private static final int MAX_SECONDS = 3_600;
    private static final int MAX_ANSWER_BYTES = 16 * 1024 * 1024;

    /** Checks the parts. */
    public LoadPlan {
        entries = List.copyOf(entries);
        Checks.inRange("entries", entries.size(), 1, Integer.MAX_VALUE);
        Checks.inRange("ratePerSecond", ratePerSecond, 1, MAX_RATE);
        Checks.inRange("seconds", seconds, 1, MAX_SECONDS);
        Checks.inRange("orderPercent", orderPercent, 0, 100);
        Checks.notBlank("readPath", readPath);
        Checks.notBlank("orderPath", orderPath);
        Checks.inRange("answerBytes", answerBytes, 0, MAX_ANSWER_BYTES);
        Checks.inRange("timeoutMillis", timeoutMillis, 1, 600_000);
    }
}

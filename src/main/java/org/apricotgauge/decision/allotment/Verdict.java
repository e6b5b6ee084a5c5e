package org.apricotgauge.decision.allotment;

/** Whether a request may run, by its member's limit. */
public sealed interface Verdict {
    /** It may. */
    Verdict GRANTED = new Granted();

    /** Nobody who counts the member's requests could be asked. */
    Verdict UNKNOWN = new Unknown();

    /** It may run. */
    record Granted() implements Verdict {}

    /**
     * The member has asked for more than its limit.
     *
     * @param retryAfterMillis when a token will be there, in milliseconds
     */
    record Refused(long retryAfterMillis) implements Verdict {}

    /** Nobody who counts the member's requests answers. */
    record Unknown() implements Verdict {}
}

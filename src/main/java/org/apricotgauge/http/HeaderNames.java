package org.apricotgauge.http;

/**
 * Names of the headers that the fleet reads from callers, writes to them, or uses between its hops.
 *
 * <p>All start with {@link #PREFIX}; whatever else starts with it is removed at the borders, so
 * that neither a caller nor a target can speak for a node.
 */
public final class HeaderNames {
    /** What every header of the fleet starts with. */
    public static final String PREFIX = "Apricotgauge-";

    /** Caller and hops: milliseconds left until the answer is of no more use. */
    public static final String TIMEOUT_MILLIS = "Apricotgauge-Timeout-Millis";

    /** Caller and hops: the member (customer) on whose behalf the request comes. */
    public static final String MEMBER = "Apricotgauge-Member";

    /** Hops: the target that the entry chose. */
    public static final String TARGET = "Apricotgauge-Target";

    /** Hops: priority of the request. */
    public static final String PRIORITY = "Apricotgauge-Priority";

    /** Answers: {@code not-run} or {@code unknown}; absent on an answer of the target. */
    public static final String OUTCOME = "Apricotgauge-Outcome";

    /** Answers: why the outcome is what it is, one word. */
    public static final String REASON = "Apricotgauge-Reason";

    /** Hops: when a request that was not run may come back, in milliseconds. */
    public static final String RETRY_AFTER_MILLIS = "Apricotgauge-Retry-After-Millis";

    /** Answers of targets and guards: {@code 1} if the target leaves and takes nothing new. */
    public static final String TARGET_LEAVING = "Apricotgauge-Target-Leaving";

    /**
     * Answers of targets and guards: how many requests a second the target takes from all nodes;
     * requests: the same as the entry was told.
     */
    public static final String TARGET_LIMIT = "Apricotgauge-Target-Limit";

    /** Hops: load of the target as the guard sees it, in permille of its slots. */
    public static final String LOAD_PERMILLE = "Apricotgauge-Load-Permille";

    /**
     * Hops: {@link #RETRY_OF_REQUEST} or {@link #RETRY_PREPAID} if a target was sent the request
     * before, which did not end it; {@link #RETRY_OF_PARENT} if the request is a call of such a
     * one.
     */
    public static final String RETRY = "Apricotgauge-Repeat";

    /** Value of {@link #RETRY}: the request itself is sent again. */
    public static final String RETRY_OF_REQUEST = "1";

    /** Value of {@link #RETRY}: it is sent again, and the guard that it was sent to has paid. */
    public static final String RETRY_PREPAID = "paid";

    /** Hops: the guard of a target that failed the request has paid for its next run. */
    public static final String NEXT_RETRY_PREPAID = "Apricotgauge-Retry-Paid";

    /** Value of {@link #RETRY}: the request that this call is made for is sent again. */
    public static final String RETRY_OF_PARENT = "parent";

    /** Hops: how much of a risk the request may run; see {@code HealthGate.Caution}. */
    public static final String RISK_TOLERANCE = "Apricotgauge-Caution";

    /** Hops: whether the request may wait for a slot; see {@code Patience}. */
    public static final String QUEUEING_POLICY = "Apricotgauge-Patience";

    /** Hops: milliseconds left in which an answer is of full use, 0 if none are. */
    public static final String SOFT_DEADLINE_MILLIS = "Apricotgauge-Useful-Millis";

    /** Hops: the request is a call that a target of the sender's VM makes for another request. */
    public static final String NESTED_CALL = "Apricotgauge-Call";

    /** Hops: the target failed the request since a call that it made for it had failed. */
    public static final String NESTED_CALL_FAILED = "Apricotgauge-Call-Lost";

    /** Hops: how likely the target is to be sick; see {@code HealthOutlook.Told}. */
    public static final String HEALTH = "Apricotgauge-Health";

    /** Hops: the guard's evidence about the target; see {@code node.EvidenceCodec}. */
    public static final String EVIDENCE = "Apricotgauge-Evidence";

    /** Hops: hybrid logical clock of the sender. */
    public static final String CLOCK = "Apricotgauge-Clock";

    /** Hops: a question about the guard instead of a request for a target; see {@code peer.hop}. */
    public static final String CONTROL = "Apricotgauge-Control";

    /**
     * Hops: newest revision of what the platform published that the sender knows, and the address
     * of its guard; on a question, the revision that the asker has.
     */
    public static final String DIRECTORY = "Apricotgauge-Directory";

    /** Questions: {@code 1} if the asker of {@link #DIRECTORY} takes compressed values. */
    public static final String DIRECTORY_COMPRESSED = "Apricotgauge-Directory-Compressed";

    /** Questions: how long the asker of {@link #DIRECTORY} waits for a change, in milliseconds. */
    public static final String DIRECTORY_WAIT_MILLIS = "Apricotgauge-Directory-Wait-Millis";

    /**
     * Acknowledgements: up to which revision the guard knows what the platform published, a
     * semicolon, and how long ago the platform held nothing newer, in milliseconds.
     */
    public static final String SITE_VIEW = "Apricotgauge-Site-View";

    /** Value of {@link #OUTCOME}: the request was proven not to have run. */
    public static final String OUTCOME_NOT_RUN = "not-run";

    /** Value of {@link #OUTCOME}: nobody can tell whether the request ran. */
    public static final String OUTCOME_UNKNOWN = "unknown";

    private HeaderNames() {}
}

package org.apricotgauge.http;

/**
 * Names of the headers that the fleet reads from callers, sends to them, or uses between its hops.
 *
 * <p>All start with {@link #PREFIX}; any other header that starts with it is removed at the borders
 * of the fleet, so that neither a caller nor a target can impersonate a node.
 */
public final class HeaderNames {
    /** Prefix of every header of the fleet. */
    public static final String PREFIX = "Apricotgauge-";

    /** Caller and hops: time left until the request's deadline, in milliseconds. */
    public static final String TIMEOUT_MILLIS = "Apricotgauge-Timeout-Millis";

    /** Caller and hops: the member (customer) that the request belongs to. */
    public static final String MEMBER = "Apricotgauge-Member";

    /** Hops: the target that the entry selected. */
    public static final String TARGET = "Apricotgauge-Target";

    /** Hops: priority of the request. */
    public static final String PRIORITY = "Apricotgauge-Priority";

    /** Responses: {@code not-run} or {@code unknown}; absent from a response of the target. */
    public static final String OUTCOME = "Apricotgauge-Outcome";

    /** Responses: reason for the outcome, one word. */
    public static final String REASON = "Apricotgauge-Reason";

    /** Hops: delay after which a request that was not run may be retried, in milliseconds. */
    public static final String RETRY_AFTER_MILLIS = "Apricotgauge-Retry-After-Millis";

    /**
     * Responses of targets and guards: {@code 1} if the target is leaving and accepts no new
     * requests.
     */
    public static final String TARGET_LEAVING = "Apricotgauge-Target-Leaving";

    /**
     * Responses of targets and guards: how many requests per second the target accepts from all
     * nodes together; requests: the limit that the entry has received.
     */
    public static final String TARGET_LIMIT = "Apricotgauge-Target-Limit";

    /**
     * Hops: on a request, its body follows once the guard asks for it; on an acknowledgement, the
     * guard doesn't ask for it yet.
     */
    public static final String BODY_ON_DEMAND = "Apricotgauge-Body-On-Demand";

    /** Value of {@link #BODY_ON_DEMAND}: no byte of the body has been sent. */
    public static final String BODY_WITHHELD = "withheld";

    /** Hops: load of the target as measured by its guard, in permille of its slots. */
    public static final String LOAD_PERMILLE = "Apricotgauge-Load-Permille";

    /**
     * Hops: {@link #RETRY_OF_REQUEST} or {@link #RETRY_PREPAID} if the request was sent to a target
     * before and not completed there; {@link #RETRY_OF_PARENT} if it is a nested call of such a
     * retry.
     */
    public static final String RETRY = "Apricotgauge-Repeat";

    /** Value of {@link #RETRY}: the request itself is retried. */
    public static final String RETRY_OF_REQUEST = "1";

    /**
     * Value of {@link #RETRY}: the request is retried, and was charged to the retry budget of the
     * guard that it was sent to before.
     */
    public static final String RETRY_PREPAID = "paid";

    /**
     * Hops: the guard of a target that failed the request has charged its next run to its own retry
     * budget.
     */
    public static final String NEXT_RETRY_PREPAID = "Apricotgauge-Retry-Paid";

    /**
     * Hops: on a request, the entry can start a further attempt while this one goes on, and wants
     * to be told by {@link #NEXT_RETRY_PREPAID} on an acknowledgement. Absent from entries of
     * earlier releases, for which a guard has to end the run first.
     */
    public static final String RETRY_BESIDE = "Apricotgauge-Retry-Beside";

    /** Hops: rank of the request among those that need a retry; see {@code RetryRank}. */
    public static final String RETRY_RANK = "Apricotgauge-Retry-Rank";

    /**
     * Hops: rank of the first request of the same service that waits for a retry at the entry;
     * absent if none does.
     */
    public static final String RETRY_WANTED = "Apricotgauge-Retry-Wanted";

    /**
     * Hops: the guard has charged a retry of the request that {@link #RETRY_WANTED} announced to
     * its retry budget.
     */
    public static final String WAITING_RETRY_PREPAID = "Apricotgauge-Waiting-Retry-Paid";

    /** Value of {@link #RETRY}: the request that this nested call is made for is retried. */
    public static final String RETRY_OF_PARENT = "parent";

    /** Hops: target restriction of the request; see {@code HealthGate.TargetRestriction}. */
    public static final String TARGET_RESTRICTION = "Apricotgauge-Caution";

    /** Hops: whether the request may wait for a slot; see {@code QueueingPolicy}. */
    public static final String QUEUEING_POLICY = "Apricotgauge-Patience";

    /** Hops: time left until the request's soft deadline, in milliseconds; 0 if it has passed. */
    public static final String SOFT_DEADLINE_MILLIS = "Apricotgauge-Useful-Millis";

    /**
     * Hops: the request is a nested call that a target of the sender's VM makes for another
     * request.
     */
    public static final String NESTED_CALL = "Apricotgauge-Call";

    /** Hops: the target failed the request because a nested call that it made for it had failed. */
    public static final String NESTED_CALL_FAILED = "Apricotgauge-Call-Lost";

    /** Hops: probability that the target is degraded; see {@code DegradationEstimate.Report}. */
    public static final String HEALTH = "Apricotgauge-Health";

    /** Hops: the guard's evidence about the target; see {@code node.EvidenceCodec}. */
    public static final String EVIDENCE = "Apricotgauge-Evidence";

    /** Hops: reading of the sender's hybrid logical clock. */
    public static final String CLOCK = "Apricotgauge-Clock";

    /**
     * Hops: a control request to the guard instead of a request for a target; see {@code peer.hop}.
     */
    public static final String CONTROL = "Apricotgauge-Control";

    /**
     * Hops: newest revision of the platform's published data that the sender has, and the address
     * of its guard; on a query, the revision that the requester has.
     */
    public static final String DIRECTORY = "Apricotgauge-Directory";

    /**
     * With {@link #DIRECTORY} and {@link #SITE_VIEW}: era of the revision, see {@code
     * StorePosition}; absent from nodes of earlier releases.
     */
    public static final String DIRECTORY_ERA = "Apricotgauge-Directory-Era";

    /**
     * Hops: digest of the writes that the sender knows and the restored platform lost, in
     * hexadecimal; absent if there are none.
     */
    public static final String LOST_WRITES = "Apricotgauge-Lost-Writes";

    /** Queries: {@code 1} if the requester of {@link #DIRECTORY} accepts compressed values. */
    public static final String DIRECTORY_COMPRESSED = "Apricotgauge-Directory-Compressed";

    /**
     * Queries: how long the requester of {@link #DIRECTORY} waits for a change, in milliseconds.
     */
    public static final String DIRECTORY_WAIT_MILLIS = "Apricotgauge-Directory-Wait-Millis";

    /**
     * Acknowledgements: revision up to which the guard has the platform's published data, a
     * semicolon, and how long ago the platform held nothing newer, in milliseconds.
     */
    public static final String SITE_VIEW = "Apricotgauge-Site-View";

    /**
     * Acknowledgements and answers of a guard that is stopping: time until its process ends at the
     * latest, in milliseconds; what follows a semicolon is ignored. Absent otherwise, and from
     * nodes of earlier releases.
     */
    public static final String STOP_MILLIS = "Apricotgauge-Stop-Millis";

    /** Value of {@link #OUTCOME}: the request was proven not to have run. */
    public static final String OUTCOME_NOT_RUN = "not-run";

    /** Value of {@link #OUTCOME}: it cannot be determined whether the request ran. */
    public static final String OUTCOME_UNKNOWN = "unknown";

    private HeaderNames() {}
}

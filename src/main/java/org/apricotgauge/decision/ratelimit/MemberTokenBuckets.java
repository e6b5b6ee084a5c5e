package org.apricotgauge.decision.ratelimit;

import java.util.HashMap;
import java.util.Map;
import java.util.function.Predicate;
import org.apricotgauge.model.RateLimit;

/**
 * Counts the tokens of the members that this node owns, or whose owner does not respond.
 *
 * <pre>{@code
 * TokenGrant grant = buckets.grant("team-7", limit, 3, MemberTokenBuckets.Role.OWNER, nowMillis);
 * }</pre>
 *
 * <p>A new bucket may replace one at another node, or at this node before a restart, whose saved
 * tokens are already spent. It therefore starts with the tokens of a quarter of a second; at an
 * owner, those accrued since the fleet last changed are added. Two successive buckets thus grant
 * little more than one would. Not thread-safe.
 */
public final class MemberTokenBuckets {
    /** Initial fill of a new bucket, in seconds of the member's rate. */
    static final double INITIAL_FILL_SECONDS = 0.25;

    /** Upper bound of the retry delay, in milliseconds. */
    static final long MAX_RETRY_AFTER_MILLIS = 10_000;

    private static final double MILLIS_PER_SECOND = 1_000.0;

    /** Fraction of the tolerated slack added to the burst; the rest is for isolated nodes. */
    static final double EXTRA_BURST_FRACTION = 0.25;

    private final Map<String, Bucket> mBuckets = new HashMap<>();
    private final double mExtraBurst;
    private long mFleetChangedMillis;

    /** Role in which a node grants tokens. */
    public enum Role {
        /** The node owns the member. */
        OWNER,
        /** The owner does not respond to this node, but may still grant tokens to others. */
        BACKUP_OWNER
    }

    /** Creates an instance without buckets. */
    public MemberTokenBuckets(FallbackQuota.Tolerance tolerance, long nowMillis) {
        mExtraBurst = EXTRA_BURST_FRACTION * tolerance.slack();
        mFleetChangedMillis = nowMillis;
    }

    /** Tokens of one member. */
    private static final class Bucket {
        private double mTokens;
        private long mLastRefillMillis;
        private double mLastRetryAtMillis;
    }

    /**
     * Called when nodes joined or left; drops the buckets of members that have another owner now.
     *
     * @param isOwner returns whether this node owns a member
     */
    public void fleetChanged(Predicate<String> isOwner, long nowMillis) {
        mFleetChangedMillis = nowMillis;
        mBuckets.keySet().removeIf(member -> !isOwner.test(member));
    }

    /**
     * Grants as many of the requested tokens of a member as are available.
     *
     * @param limit the member's limit in the configuration of this node
     */
    public TokenGrant grant(
            String member, RateLimit limit, int requested, Role role, long nowMillis) {
        Bucket bucket = mBuckets.computeIfAbsent(member, id -> newBucket(limit, role, nowMillis));
        refill(bucket, limit, nowMillis);
        int granted = (int) Math.min(requested, Math.floor(bucket.mTokens));
        bucket.mTokens -= granted;
        long retryAfterMillis =
                granted == requested ? 0 : assignRetryAfterMillis(bucket, limit, nowMillis);
        return new TokenGrant(granted, retryAfterMillis);
    }

    private Bucket newBucket(RateLimit limit, Role role, long nowMillis) {
        Bucket bucket = new Bucket();
        long accruedMillis = role == Role.OWNER ? nowMillis - mFleetChangedMillis : 0;
        double seconds = INITIAL_FILL_SECONDS + accruedMillis / MILLIS_PER_SECOND;
        bucket.mTokens = Math.max(1, limit.requestsPerSecond() * seconds);
        bucket.mLastRefillMillis = nowMillis;
        return bucket;
    }

    // The capacity must be at least one token, or nothing would ever be granted.
    private void refill(Bucket bucket, RateLimit limit, long nowMillis) {
        double seconds = Math.max(0, nowMillis - bucket.mLastRefillMillis) / MILLIS_PER_SECOND;
        double tokens = bucket.mTokens + seconds * limit.requestsPerSecond();
        bucket.mTokens = Math.min(Math.max(1, limit.burst() + mExtraBurst), tokens);
        bucket.mLastRefillMillis = nowMillis;
    }

    // If all refused callers retried at the same moment, they would compete for a single token.
    private static long assignRetryAfterMillis(Bucket bucket, RateLimit limit, long nowMillis) {
        double tokenMillis = MILLIS_PER_SECOND / limit.requestsPerSecond();
        double nextTokenMillis = nowMillis + (1 - Math.min(1, bucket.mTokens)) * tokenMillis;
        double latestMillis = nowMillis + (double) MAX_RETRY_AFTER_MILLIS;
        double retryAtMillis =
                Math.min(
                        latestMillis,
                        Math.max(nextTokenMillis, bucket.mLastRetryAtMillis + tokenMillis));
        bucket.mLastRetryAtMillis = retryAtMillis;
        return Math.max(1, (long) Math.ceil(retryAtMillis - nowMillis));
    }

    /** Returns the tokens available to a member; 0 if it has no bucket here. */
    double availableTokens(String member) {
        Bucket bucket = mBuckets.get(member);
        return bucket == null ? 0 : bucket.mTokens;
    }
}

package org.apricotgauge.decision.ratelimit;

import java.util.HashMap;
import java.util.Map;
import java.util.function.Predicate;
import org.apricotgauge.model.RateLimit;

/**
 * Counts the tokens of the members whose home this node is, or whose home is silent.
 *
 * <pre>{@code
 * Answer answer = lender.lend("team-7", limit, 3, Lender.Role.HOME, nowMillis);
 * }</pre>
 *
 * <p>A bucket that is made anew may follow one at another node, or at this node before a restart,
 * whose savings are spent. It starts with a quarter of a second's tokens, that of a home also with
 * what has come in since the fleet last changed, so that two buckets in turn grant little more than
 * one would. Not thread-safe.
 */
public final class MemberTokenBuckets {
    /** Tokens that a new bucket starts with, as time of its rate, in seconds. */
    static final double INITIAL_FILL_SECONDS = 0.25;

    /** Nobody is told to come back later than this, in milliseconds. */
    static final long MAX_RETRY_AFTER_MILLIS = 10_000;

    private static final double MILLIS_PER_SECOND = 1_000.0;

    /** Part of the tolerated slack that may be saved up; the rest is for nodes out of touch. */
    static final double EXTRA_BURST_FRACTION = 0.25;

    private final Map<String, Bucket> mBuckets = new HashMap<>();
    private final double mExtraBurst;
    private long mFleetChangedMillis;

    /** On what grounds a node lends. */
    public enum Role {
        /** It is the member's home. */
        OWNER,
        /** The home does not answer; it may still lend to others. */
        BACKUP_OWNER
    }

    /** Creates a lender that begins now. */
    public MemberTokenBuckets(FallbackQuota.Tolerance tolerance, long nowMillis) {
        mExtraBurst = EXTRA_BURST_FRACTION * tolerance.slack();
        mFleetChangedMillis = nowMillis;
    }

    /** The tokens of one member. */
    private static final class Bucket {
        private double mTokens;
        private long mLastRefillMillis;
        private double mLastRetryAtMillis;
    }

    /**
     * Takes in that nodes came or went; buckets of members that have another home now are dropped.
     *
     * @param isHome whether this node is a member's home
     */
    public void fleetChanged(Predicate<String> isHome, long nowMillis) {
        mFleetChangedMillis = nowMillis;
        mBuckets.keySet().removeIf(member -> !isHome.test(member));
    }

    /**
     * Takes tokens of a member, as many of those that are asked for as there are.
     *
     * @param limit the limit as this node knows it
     */
    public TokenGrant grant(String member, RateLimit limit, int asked, Role role, long nowMillis) {
        Bucket bucket = mBuckets.computeIfAbsent(member, id -> newBucket(limit, role, nowMillis));
        refill(bucket, limit, nowMillis);
        int granted = (int) Math.min(asked, Math.floor(bucket.mTokens));
        bucket.mTokens -= granted;
        long retryAfterMillis =
                granted == asked ? 0 : assignRetryAfterMillis(bucket, limit, nowMillis);
        return new TokenGrant(granted, retryAfterMillis);
    }

    private Bucket newBucket(RateLimit limit, Role role, long nowMillis) {
        Bucket bucket = new Bucket();
        long savedMillis = role == Role.OWNER ? nowMillis - mFleetChangedMillis : 0;
        double seconds = INITIAL_FILL_SECONDS + savedMillis / MILLIS_PER_SECOND;
        bucket.mTokens = Math.max(1, limit.requestsPerSecond() * seconds);
        bucket.mLastRefillMillis = nowMillis;
        return bucket;
    }

    // A whole token must fit in, or nothing would ever be granted.
    private void refill(Bucket bucket, RateLimit limit, long nowMillis) {
        double seconds = Math.max(0, nowMillis - bucket.mLastRefillMillis) / MILLIS_PER_SECOND;
        double tokens = bucket.mTokens + seconds * limit.requestsPerSecond();
        bucket.mTokens = Math.min(Math.max(1, limit.burst() + mExtraBurst), tokens);
        bucket.mLastRefillMillis = nowMillis;
    }

    // Sent back all at the same moment, those refused would find one token among them.
    private static long assignRetryAfterMillis(Bucket bucket, RateLimit limit, long nowMillis) {
        double tokenMillis = MILLIS_PER_SECOND / limit.requestsPerSecond();
        double nextMillis = nowMillis + (1 - Math.min(1, bucket.mTokens)) * tokenMillis;
        double latestMillis = nowMillis + (double) MAX_RETRY_AFTER_MILLIS;
        double promisedMillis =
                Math.min(
                        latestMillis,
                        Math.max(nextMillis, bucket.mLastRetryAtMillis + tokenMillis));
        bucket.mLastRetryAtMillis = promisedMillis;
        return Math.max(1, (long) Math.ceil(promisedMillis - nowMillis));
    }

    /** Returns the tokens left of a member; 0 if nothing is counted here. */
    double availableTokens(String member) {
        Bucket bucket = mBuckets.get(member);
        return bucket == null ? 0 : bucket.mTokens;
    }
}

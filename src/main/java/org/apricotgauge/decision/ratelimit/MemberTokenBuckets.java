package org.apricotgauge.decision.ratelimit;

import java.util.HashMap;
import java.util.Map;
import org.apricotgauge.model.Checks;
import org.apricotgauge.model.RateLimit;

/**
 * Counts the tokens of the members that this node owns, or whose owner does not respond.
 *
 * <pre>{@code
 * TokenGrant grant = buckets.grant("team-7", limit, 3, MemberTokenBuckets.Role.OWNER, nowMillis);
 * }</pre>
 *
 * <p>A new bucket may replace one at another node, or at this node before a restart, whose saved
 * tokens are already spent. It therefore starts with a part of the tolerated requests, or with the
 * tokens of a quarter of a second if it is not the first replacement within a window; at an owner,
 * those accrued since it owns the member are added. Not thread-safe.
 */
public final class MemberTokenBuckets {
    /** Initial fill of a new bucket, in seconds of the member's rate. */
    static final double INITIAL_FILL_SECONDS = 0.25;

    /** Upper bound of the retry delay, in milliseconds. */
    static final long MAX_RETRY_AFTER_MILLIS = 10_000;

    private static final double MILLIS_PER_SECOND = 1_000.0;

    private final Map<String, Bucket> mBuckets = new HashMap<>();
    private final FallbackQuota.Tolerance mTolerance;
    private final OwnerHistory mOwners;

    /** Role in which a node grants tokens. */
    public enum Role {
        /** The node owns the member. */
        OWNER,
        /** The owner does not respond to this node, but may still grant tokens to others. */
        BACKUP_OWNER,
        /** Neither the owner nor those that replace it first respond to this node. */
        LATER_BACKUP_OWNER
    }

    /**
     * Why a node grants tokens.
     *
     * @param role role of the node
     * @param sinceMillis since when it has that role; tokens of an earlier time are not its own
     */
    public record Authority(Role role, long sinceMillis) {
        /** The owner's, whose tokens accrue all the time. */
        public static final Authority OWNER = new Authority(Role.OWNER, Long.MIN_VALUE);

        /** Validates the components. */
        public Authority {
            Checks.notNull("authority.role", role);
        }
    }

    /** Creates an instance without buckets. */
    public MemberTokenBuckets(
            MemberOwners owners, FallbackQuota.Tolerance tolerance, long nowMillis) {
        mTolerance = tolerance;
        mOwners = new OwnerHistory(owners, nowMillis);
    }

    /** Tokens of one member. */
    private static final class Bucket {
        private double mTokens;
        private long mLastRefillMillis;
        private long mLastGrantMillis;
        private double mLastRetryAtMillis;
    }

    /** Called when nodes joined or left. */
    public void fleetChanged(MemberOwners owners, long nowMillis) {
        MemberOwners before = mOwners.current();
        mOwners.add(owners, nowMillis);
        mBuckets.entrySet()
                .removeIf(
                        entry ->
                                hasMoved(entry.getKey(), before, owners)
                                        && isObsolete(entry, owners, nowMillis));
    }

    private static boolean hasMoved(String member, MemberOwners before, MemberOwners after) {
        return !after.owner(member).equals(before.owner(member));
    }

    /** Returns whether a bucket is of no use, now that its member has another owner. */
    private boolean isObsolete(
            Map.Entry<String, Bucket> entry, MemberOwners owners, long nowMillis) {
        Bucket bucket = entry.getValue();
        if (!owners.isOwner(entry.getKey())
                || nowMillis - bucket.mLastGrantMillis > windowMillis()) {
            return true;
        }
        // The tokens accrued until now were the previous owner's.
        bucket.mLastRefillMillis = nowMillis;
        return false;
    }

    /**
     * Grants as many of the requested tokens of a member as are available.
     *
     * @param limit the member's limit in the configuration of this node
     */
    public TokenGrant grant(
            String member, RateLimit limit, int requested, Authority authority, long nowMillis) {
        Bucket bucket = mBuckets.get(member);
        if (bucket == null) {
            bucket = newBucket(member, limit, authority.role(), nowMillis);
            mBuckets.put(member, bucket);
        }
        if (authority.role() != Role.OWNER
                && nowMillis - bucket.mLastGrantMillis > windowMillis()) {
            bucket.mTokens =
                    Math.max(
                            bucket.mTokens,
                            initialFill(member, limit, authority.role(), nowMillis));
        }
        refill(bucket, limit, authority.sinceMillis(), nowMillis);
        int granted = (int) Math.min(requested, Math.floor(bucket.mTokens));
        bucket.mTokens -= granted;
        bucket.mLastGrantMillis = granted > 0 ? nowMillis : bucket.mLastGrantMillis;
        long retryAfterMillis =
                granted == requested
                        ? 0
                        : assignRetryAfterMillis(bucket, limit, requested - granted, nowMillis);
        return new TokenGrant(granted, retryAfterMillis);
    }

    private Bucket newBucket(String member, RateLimit limit, Role role, long nowMillis) {
        Bucket bucket = new Bucket();
        bucket.mTokens = initialFill(member, limit, role, nowMillis);
        if (role == Role.OWNER) {
            double seconds = (nowMillis - mOwners.ownedSinceMillis(member)) / MILLIS_PER_SECOND;
            bucket.mTokens += limit.requestsPerSecond() * seconds;
        }
        bucket.mLastRefillMillis = nowMillis;
        bucket.mLastGrantMillis = nowMillis;
        return bucket;
    }

    private double initialFill(String member, RateLimit limit, Role role, long nowMillis) {
        double small = Math.max(1, INITIAL_FILL_SECONDS * limit.requestsPerSecond());
        if (role == Role.LATER_BACKUP_OWNER
                || mOwners.changesSince(member, nowMillis - windowMillis()) > 1) {
            return small;
        }
        return Math.max(
                small,
                role == Role.OWNER ? mTolerance.initialFill(limit) : mTolerance.backupFill(limit));
    }

    private long windowMillis() {
        return (long) (mTolerance.windowSeconds() * MILLIS_PER_SECOND);
    }

    // The capacity must be at least one token, or nothing would ever be granted.
    private void refill(Bucket bucket, RateLimit limit, long sinceMillis, long nowMillis) {
        long fromMillis = Math.max(bucket.mLastRefillMillis, sinceMillis);
        double seconds = Math.max(0, nowMillis - fromMillis) / MILLIS_PER_SECOND;
        double tokens = bucket.mTokens + seconds * limit.requestsPerSecond();
        bucket.mTokens = Math.min(Math.max(1, limit.burst() + mTolerance.extraBurst()), tokens);
        bucket.mLastRefillMillis = nowMillis;
    }

    // If all refused callers retried at the same moment, they would compete for a single token.
    private static long assignRetryAfterMillis(
            Bucket bucket, RateLimit limit, int refused, long nowMillis) {
        double tokenMillis = MILLIS_PER_SECOND / limit.requestsPerSecond();
        double nextTokenMillis = nowMillis + (1 - Math.min(1, bucket.mTokens)) * tokenMillis;
        double latestMillis = nowMillis + (double) MAX_RETRY_AFTER_MILLIS;
        double retryAtMillis =
                Math.min(
                        latestMillis,
                        Math.max(nextTokenMillis, bucket.mLastRetryAtMillis + tokenMillis));
        bucket.mLastRetryAtMillis =
                Math.min(latestMillis, retryAtMillis + (refused - 1) * tokenMillis);
        return Math.max(1, (long) Math.ceil(retryAtMillis - nowMillis));
    }

    /** Returns the tokens available to a member; 0 if it has no bucket here. */
    double availableTokens(String member) {
        Bucket bucket = mBuckets.get(member);
        return bucket == null ? 0 : bucket.mTokens;
    }
}

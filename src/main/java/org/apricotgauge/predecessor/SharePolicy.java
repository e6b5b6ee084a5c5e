package org.apricotgauge.predecessor;

import com.dynatrace.hash4j.hashing.Hashing;
import java.util.Locale;
import org.apricotgauge.decision.attempt.IdempotencyKey;
import org.apricotgauge.model.Checks;

/**
 * Decides whether the fleet or its predecessor, the older routing system, serves a request.
 *
 * <pre>{@code
 * int bucket = SharePolicy.bucketOf("orders", "firm-3", "site", "/orders?day=7");
 * boolean servedByFleet = SharePolicy.isServedByFleet(bucket, service.fleetSharePercent());
 * }</pre>
 *
 * <p>A request is hashed into one of 100 buckets by its Idempotency-Key, or else by member, host,
 * path and query, in the same way at every node and in every release. The fleet serves the buckets
 * below its share. So a retried submission goes to the same system while the share is unchanged,
 * and a growing share moves each bucket once.
 */
public final class SharePolicy {
    private static final int BUCKET_COUNT = 100;

    private SharePolicy() {}

    /** Returns the bucket, from 0 to 99, of a request with an Idempotency-Key. */
    public static int bucketOf(IdempotencyKey key) {
        return bucket(
                Hashing.komihash5_0()
                        .hashStream()
                        .putString(key.service())
                        .putString(key.member())
                        .putString(key.value())
                        .getAsLong());
    }

    /**
     * Returns the bucket, from 0 to 99, of a request without an Idempotency-Key.
     *
     * @param service service that the request is for
     * @param member member that sent it
     * @param host host that it is addressed to, compared case-insensitively
     * @param pathQuery path and query as sent
     */
    public static int bucketOf(String service, String member, String host, String pathQuery) {
        return bucket(
                Hashing.komihash5_0()
                        .hashStream()
                        .putString(service)
                        .putString(member)
                        .putString(host == null ? "" : host.toLowerCase(Locale.ROOT))
                        .putString(pathQuery == null ? "" : pathQuery)
                        .getAsLong());
    }

    private static int bucket(long hash) {
        return (int) Long.remainderUnsigned(hash, BUCKET_COUNT);
    }

    /** Returns whether the fleet serves a bucket at the given share. */
    public static boolean isServedByFleet(int bucket, int fleetSharePercent) {
        Checks.inRange("bucket", bucket, 0, BUCKET_COUNT - 1);
        return bucket < fleetSharePercent;
    }
}

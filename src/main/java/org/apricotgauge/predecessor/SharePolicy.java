package org.apricotgauge.predecessor;

import com.dynatrace.hash4j.hashing.Hashing;
import java.util.Locale;
import org.apricotgauge.decision.attempt.IdempotencyKey;
import org.apricotgauge.model.Checks;

/**
 * Decides whether the fleet or the older routing system serves a request.
 *
 * <pre>{@code
 * int bucket = SharePolicy.bucketOf("orders", "firm-3", "site", "/orders?day=7");
 * boolean fleet = SharePolicy.isFleets(bucket, service.fleetSharePercent());
 * }</pre>
 *
 * <p>A request falls into one of 100 buckets by its Idempotency-Key or else by member, host, path
 * and query, the same at every node and in every release; the fleet has the buckets below its
 * share. So a submission sent again stays on its side while the share stands, and a growing share
 * moves each bucket once.
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
     * @param host host it asks, in any case of letters
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

    /** Returns whether the fleet serves a bucket while it has this share. */
    public static boolean isServedByFleet(int bucket, int fleetSharePercent) {
        Checks.inRange("bucket", bucket, 0, BUCKET_COUNT - 1);
        return bucket < fleetSharePercent;
    }
}

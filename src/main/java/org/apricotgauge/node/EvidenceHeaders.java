package org.apricotgauge.node;

import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentMap;
import java.util.concurrent.TimeUnit;
import java.util.function.Function;
import org.apricotgauge.decision.TokenBucket;
import org.apricotgauge.decision.detection.EvidenceDigest;
import org.apricotgauge.http.HeaderNames;
import org.apricotgauge.model.Target;
import org.apricotgauge.time.Ticker;
import org.eclipse.jetty.http.HttpFields;

/**
 * Writes the guard's evidence about a target to the headers of its responses, and reads it there.
 *
 * <p>Each entry thus gets the guard's observations of all entries' requests without extra messages.
 * The text is encoded at most every {@link #REFRESH_MILLIS}, not for each response, and all texts
 * together take at most {@link #BYTES_PER_SECOND}.
 */
final class EvidenceHeaders {
    /** Maximum age of the evidence on a response, in milliseconds. */
    static final long REFRESH_MILLIS = 50;

    // At 240 responses a second for each node, evidence on each would be 50 KB a second, twice what
    // control traffic may cost. Counts are cumulative: a later response includes what an earlier
    // one left out.
    static final int BYTES_PER_SECOND = 5_000;

    private final Ticker mTicker;
    private final Function<Target, EvidenceDigest> mDigestSource;
    private final ConcurrentMap<String, CachedHeader> mCache = new ConcurrentHashMap<>();

    private final TokenBucket mByteBudget;

    private record CachedHeader(String text, long createdAtNanos) {}

    /**
     * Creates an instance with the default bound.
     *
     * @param digestSource returns the guard's own counts for one target
     */
    EvidenceHeaders(Ticker ticker, Function<Target, EvidenceDigest> digestSource) {
        this(ticker, digestSource, BYTES_PER_SECOND);
    }

    /** Creates an instance; {@code bytesPerSecond} bounds all texts together. */
    EvidenceHeaders(
            Ticker ticker, Function<Target, EvidenceDigest> digestSource, int bytesPerSecond) {
        mTicker = ticker;
        mByteBudget = new TokenBucket(bytesPerSecond, bytesPerSecond, ticker.millis());
        mDigestSource = digestSource;
    }

    void write(Target target, HttpFields.Mutable headers) {
        long nowNanos = mTicker.nanos();
        CachedHeader cached = mCache.get(target.id());
        boolean isStale =
                cached == null
                        || nowNanos - cached.createdAtNanos()
                                > TimeUnit.MILLISECONDS.toNanos(REFRESH_MILLIS);
        if (isStale) {
            byte[] encoded = EvidenceCodec.encode(mDigestSource.apply(target));
            cached = new CachedHeader(EvidenceCodec.toHeader(encoded), nowNanos);
            mCache.put(target.id(), cached);
        }
        if (tryConsumeBytes(cached.text().length())) {
            headers.put(HeaderNames.EVIDENCE, cached.text());
        }
    }

    private boolean tryConsumeBytes(int bytes) {
        synchronized (mByteBudget) {
            return mByteBudget.tryConsume(bytes, mTicker.millis());
        }
    }

    static Optional<EvidenceDigest> read(HttpFields headers) {
        String text = headers.get(HeaderNames.EVIDENCE);
        return text == null ? Optional.empty() : EvidenceCodec.fromHeader(text);
    }
}

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
 * Puts the guard's evidence about a target on its answers, and reads it there.
 *
 * <p>Each entry thus learns what all entries together showed the guard, at no message of its own.
 * The text is made anew at most every {@link #REFRESH_MILLIS}, not for each answer, and all texts
 * together take at most {@link #BYTES_PER_SECOND}.
 */
final class EvidenceHeaders {
    /** How old the evidence on an answer may be. */
    static final long REFRESH_MILLIS = 50;

    // At 240 answers a second for each node, evidence on every one would be 50 KB a second, twice
    // what control may cost. Counts are cumulative: what is left out comes with a later answer.
    static final int BYTES_PER_SECOND = 5_000;

    private final Ticker mTicker;
    private final Function<Target, EvidenceDigest> mDigestSource;
    private final ConcurrentMap<String, CachedHeader> mCache = new ConcurrentHashMap<>();

    private final TokenBucket mByteBudget;

    private record CachedHeader(String text, long createdAtNanos) {}

    /**
     * Creates a share.
     *
     * @param digestOf the guard's own counts of one target
     */
    EvidenceHeaders(Ticker ticker, Function<Target, EvidenceDigest> digestOf) {
        this(ticker, digestOf, BYTES_PER_SECOND);
    }

    /** As above; {@code bytesPerSecond} bounds all texts together. */
    EvidenceHeaders(Ticker ticker, Function<Target, EvidenceDigest> digestOf, int bytesPerSecond) {
        mTicker = ticker;
        mByteBudget = new TokenBucket(bytesPerSecond, bytesPerSecond, ticker.millis());
        mDigestSource = digestOf;
    }

    void write(Target target, HttpFields.Mutable headers) {
        long nowNanos = mTicker.nanos();
        CachedHeader cached = mCache.get(target.id());
        boolean old =
                cached == null
                        || nowNanos - cached.createdAtNanos()
                                > TimeUnit.MILLISECONDS.toNanos(REFRESH_MILLIS);
        if (old) {
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

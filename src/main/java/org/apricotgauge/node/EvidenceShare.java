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
final class EvidenceShare {
    /** How old the evidence on an answer may be. */
    static final long REFRESH_MILLIS = 50;

    // At 240 answers a second for each node, evidence on every one would be 50 KB a second, twice
    // what control may cost. Counts are cumulative: what is left out comes with a later answer.
    static final int BYTES_PER_SECOND = 5_000;

    private final Ticker mTicker;
    private final Function<Target, EvidenceDigest> mDigestOf;
    private final ConcurrentMap<String, Cached> mCache = new ConcurrentHashMap<>();

    private final TokenBucket mBytes;

    private record Cached(String text, long atNanos) {}

    /**
     * Creates a share.
     *
     * @param digestOf the guard's own counts of one target
     */
    EvidenceShare(Ticker ticker, Function<Target, EvidenceDigest> digestOf) {
        this(ticker, digestOf, BYTES_PER_SECOND);
    }

    /** As above; {@code bytesPerSecond} bounds all texts together. */
    EvidenceShare(Ticker ticker, Function<Target, EvidenceDigest> digestOf, int bytesPerSecond) {
        mTicker = ticker;
        mBytes = new TokenBucket(bytesPerSecond, bytesPerSecond, ticker.millis());
        mDigestOf = digestOf;
    }

    void write(Target target, HttpFields.Mutable headers) {
        long nowNanos = mTicker.nanos();
        Cached cached = mCache.get(target.id());
        boolean old =
                cached == null
                        || nowNanos - cached.atNanos()
                                > TimeUnit.MILLISECONDS.toNanos(REFRESH_MILLIS);
        if (old) {
            byte[] encoded = EvidenceCodec.encode(mDigestOf.apply(target));
            cached = new Cached(EvidenceCodec.toHeader(encoded), nowNanos);
            mCache.put(target.id(), cached);
        }
        if (takeBytes(cached.text().length())) {
            headers.put(HeaderNames.EVIDENCE, cached.text());
        }
    }

    private boolean takeBytes(int bytes) {
        synchronized (mBytes) {
            return mBytes.tryConsume(bytes, mTicker.millis());
        }
    }

    static Optional<EvidenceDigest> read(HttpFields headers) {
        String text = headers.get(HeaderNames.EVIDENCE);
        return text == null ? Optional.empty() : EvidenceCodec.fromHeader(text);
    }
}

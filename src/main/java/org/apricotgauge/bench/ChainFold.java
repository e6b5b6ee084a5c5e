package org.apricotgauge.bench;

import com.dynatrace.hash4j.hashing.Hashing;
import java.nio.charset.StandardCharsets;
import java.util.List;
import org.apricotgauge.decision.gossip.ConfigFold;
import org.apricotgauge.platform.LogRecord;

/** A fold that only chains a hash, so that a measurement shows the dissemination alone. */
public final class ChainFold implements ConfigFold<ChainFold.Chain> {

    /**
     * A history without content.
     *
     * @param position records folded
     * @param hash chained hash over them
     */
    public record Chain(long position, long hash) {}

    @Override
    public Chain empty() {
        return new Chain(0, 0);
    }

    @Override
    public long position(Chain history) {
        return history.position();
    }

    @Override
    public long version(Chain history) {
        return history.position();
    }

    @Override
    public String digest(Chain history) {
        return Long.toHexString(history.hash());
    }

    @Override
    public Chain apply(Chain history, LogRecord record) {
        long hash =
                Hashing.komihash5_0()
                        .hashStream()
                        .putLong(history.hash())
                        .putString(record.body())
                        .getAsLong();
        return new Chain(record.position(), hash);
    }

    @Override
    public List<byte[]> encode(Chain history) {
        String text = history.position() + " " + history.hash();
        return List.of(text.getBytes(StandardCharsets.US_ASCII));
    }

    @Override
    public Chain decode(List<byte[]> chunks) {
        String[] parts = new String(chunks.get(0), StandardCharsets.US_ASCII).split(" ");
        return new Chain(Long.parseLong(parts[0]), Long.parseLong(parts[1]));
    }
}

package org.apricotgauge.control;

import static java.nio.charset.StandardCharsets.UTF_8;

import java.util.List;
import org.apricotgauge.config.ConfigHistory;
import org.apricotgauge.config.FoldResult;
import org.apricotgauge.config.LogEntry;
import org.apricotgauge.config.SnapshotAssembler;
import org.apricotgauge.config.SnapshotCodec;
import org.apricotgauge.decision.gossip.ConfigFold;
import org.apricotgauge.model.Checks;
import org.apricotgauge.platform.LogRecord;

/** Folds the published log into the site's configuration. */
public final class ConfigHistoryFold implements ConfigFold<ConfigHistory> {
    private final RefusalListener mListener;

    /** Creates a fold without a refusal listener. */
    public ConfigHistoryFold() {
        this((entry, refused) -> {});
    }

    /** Creates a fold whose listener is called on the folding thread and must not block. */
    public ConfigHistoryFold(RefusalListener listener) {
        mListener = Checks.notNull("listener", listener);
    }

    /** Receives each entry that was refused as a whole. */
    @FunctionalInterface
    public interface RefusalListener {

        /** Called with the refused entry and the result that holds the reasons. */
        void onRefused(LogEntry entry, FoldResult.Refused refused);
    }

    @Override
    public ConfigHistory empty() {
        return ConfigHistory.EMPTY;
    }

    @Override
    public long position(ConfigHistory history) {
        return history.position();
    }

    @Override
    public long version(ConfigHistory history) {
        return history.version();
    }

    @Override
    public String digest(ConfigHistory history) {
        return history.digest().toString();
    }

    @Override
    public ConfigHistory apply(ConfigHistory history, LogRecord record) {
        LogEntry entry = new LogEntry(record.position(), record.body());
        FoldResult result = history.apply(entry);
        if (result instanceof FoldResult.Refused refused) {
            mListener.onRefused(entry, refused);
        }
        if (result instanceof FoldResult.UnsupportedRules) {
            return null;
        }
        return result.history();
    }

    @Override
    public List<byte[]> encode(ConfigHistory history) {
        return SnapshotCodec.encode(history).stream()
                .map(chunk -> SnapshotCodec.toJson(chunk).getBytes(UTF_8))
                .toList();
    }

    @Override
    public ConfigHistory decode(List<byte[]> chunks) {
        // Parses one chunk at a time, since a parsed snapshot takes several times its encoded size.
        SnapshotAssembler assembler = new SnapshotAssembler();
        SnapshotAssembler.Result result = new SnapshotAssembler.Incomplete(0);
        for (byte[] bytes : chunks) {
            result = assembler.add(SnapshotCodec.fromJson(new String(bytes, UTF_8)));
        }
        if (result instanceof SnapshotAssembler.Restored restored) {
            return restored.history();
        }
        throw new IllegalArgumentException("snapshot is incomplete or invalid: " + result);
    }
}

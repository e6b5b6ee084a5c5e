package org.apricotgauge.operator.review;

import static java.nio.charset.StandardCharsets.UTF_8;

import java.io.IOException;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import org.apricotgauge.config.ConfigHistory;
import org.apricotgauge.config.LogEntry;
import org.apricotgauge.config.SnapshotAssembler;
import org.apricotgauge.config.SnapshotCodec;
import org.apricotgauge.model.Checks;
import org.apricotgauge.platform.LogPage;
import org.apricotgauge.platform.LogRecord;
import org.apricotgauge.platform.PlatformClient;
import org.apricotgauge.platform.PlatformException;
import org.apricotgauge.platform.SnapshotHeader;

/**
 * Reads the history from the platform: the newest snapshot, if there is a sound one, and the
 * entries after it.
 */
final class PlatformHistorySource implements HistorySource {
    private static final int LIMIT = 500;

    private final PlatformClient mClient;

    PlatformHistorySource(PlatformClient client) {
        mClient = Checks.notNull("client", client);
    }

    @Override
    public ConfigHistory read() throws IOException {
        HistoryBuilder builder = new HistoryBuilder(startingPoint());
        while (true) {
            LogPage page = join(mClient.readLog(builder.history().position() + 1, LIMIT, 0));
            for (LogRecord entry : page.entries()) {
                builder.add(new LogEntry(entry.position(), entry.body()));
            }
            if (page.entries().isEmpty() || builder.history().position() >= page.head()) {
                return builder.history();
            }
        }
    }

    /** A snapshot only saves time: without a sound one, the list is read from its start. */
    private ConfigHistory startingPoint() throws IOException {
        SnapshotHeader header;
        try {
            header = join(mClient.readSnapshotHeader());
        } catch (IOException ignored) {
            return ConfigHistory.EMPTY;
        }
        SnapshotAssembler assembler = new SnapshotAssembler();
        for (int i = 0; i < header.chunks(); i++) {
            byte[] chunk = join(mClient.readSnapshotChunk(header.position(), i));
            SnapshotAssembler.Result result = add(assembler, chunk);
            if (result instanceof SnapshotAssembler.Restored restored) {
                return restored.history();
            }
            if (result instanceof SnapshotAssembler.Rejected) {
                return ConfigHistory.EMPTY;
            }
        }
        return ConfigHistory.EMPTY;
    }

    private static SnapshotAssembler.Result add(SnapshotAssembler assembler, byte[] chunk) {
        try {
            return assembler.add(SnapshotCodec.fromJson(new String(chunk, UTF_8)));
        } catch (IllegalArgumentException e) {
            return new SnapshotAssembler.Rejected(e.getMessage());
        }
    }

    private static <T> T join(CompletableFuture<T> future) throws IOException {
        try {
            return future.join();
        } catch (CompletionException e) {
            if (e.getCause() instanceof PlatformException failure) {
                throw new IOException("the platform: " + failure.getMessage(), failure.getCause());
            }
            throw e;
        }
    }
}

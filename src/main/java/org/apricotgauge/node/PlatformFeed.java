package org.apricotgauge.node;

import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.apricotgauge.config.ConfigHistory;
import org.apricotgauge.config.CurrentHistory;
import org.apricotgauge.config.FoldResult;
import org.apricotgauge.config.LogEntry;
import org.apricotgauge.model.VmStatus;
import org.apricotgauge.platform.LogPage;
import org.apricotgauge.platform.LogRecord;
import org.apricotgauge.platform.PlatformClient;
import org.apricotgauge.platform.VmPage;

/** Follows the platform's log and list of VMs with two long polls. */
final class PlatformFeed {
    private static final int LIMIT = 1_000;
    private static final long WAIT_MILLIS = 20_000;
    private static final long PAUSE_AFTER_FAILURE_MILLIS = 500;

    private final PlatformClient mClient;
    private final ScheduledExecutorService mExecutor;
    private final CurrentHistory mHistory = new CurrentHistory(ConfigHistory.EMPTY);
    private final Map<String, VmStatus> mVms = new HashMap<>();
    private final Consumer<ConfigHistory> mOnHistory;
    private final Consumer<Map<String, VmStatus>> mOnVms;
    private long mRevision;
    private volatile boolean mClosed;

    PlatformFeed(
            PlatformClient client,
            ScheduledExecutorService executor,
            Consumer<ConfigHistory> onHistory,
            Consumer<Map<String, VmStatus>> onVms) {
        mClient = client;
        mExecutor = executor;
        mOnHistory = onHistory;
        mOnVms = onVms;
    }

    void start() {
        mExecutor.execute(this::pollLog);
        mExecutor.execute(this::pollVms);
    }

    void close() {
        mClosed = true;
    }

    ConfigHistory history() {
        return mHistory.get();
    }

    private void pollLog() {
        if (!mClosed) {
            mClient.readLog(mHistory.get().position() + 1, LIMIT, WAIT_MILLIS)
                    .whenCompleteAsync(this::takeLog, mExecutor);
        }
    }

    private void takeLog(LogPage page, Throwable failure) {
        if (failure != null) {
            again(this::pollLog);
            return;
        }
        ConfigHistory before = mHistory.get();
        for (LogRecord entry : page.entries()) {
            FoldResult result = mHistory.get().apply(new LogEntry(entry.position(), entry.body()));
            mHistory.advance(result.history());
        }
        if (mHistory.get().version() != before.version()) {
            mOnHistory.accept(mHistory.get());
        }
        pollLog();
    }

    private void pollVms() {
        if (!mClosed) {
            mClient.readVms(mRevision, LIMIT, WAIT_MILLIS)
                    .whenCompleteAsync(this::takeVms, mExecutor);
        }
    }

    private void takeVms(VmPage page, Throwable failure) {
        if (failure != null) {
            again(this::pollVms);
            return;
        }
        if (page.revision() > mRevision) {
            mRevision = page.revision();
            page.removed().forEach(mVms::remove);
            page.vms().forEach(status -> mVms.put(status.vm().id(), status));
            if (!page.more()) {
                mOnVms.accept(Map.copyOf(mVms));
            }
        }
        pollVms();
    }

    private void again(Runnable poll) {
        if (!mClosed) {
            mExecutor.schedule(poll, PAUSE_AFTER_FAILURE_MILLIS, TimeUnit.MILLISECONDS);
        }
    }
}

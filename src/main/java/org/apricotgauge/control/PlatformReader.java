package org.apricotgauge.control;

import com.codahale.metrics.Counter;
import com.codahale.metrics.MetricRegistry;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ForkJoinPool;
import java.util.function.BiConsumer;
import java.util.function.Supplier;
import org.apricotgauge.decision.gossip.Backoff;
import org.apricotgauge.decision.gossip.ConfigFold;
import org.apricotgauge.decision.gossip.GossipNode;
import org.apricotgauge.decision.gossip.WatcherElection;
import org.apricotgauge.platform.LogPage;
import org.apricotgauge.platform.PlatformClient;
import org.apricotgauge.platform.SnapshotHeader;
import org.apricotgauge.platform.VmPage;

/**
 * Reads the platform if this node is one of the few that should; runs on the loop's thread.
 *
 * <p>A new node makes one call for the head of the log and one for a page of the list of VMs; it
 * receives the rest from peers. Watchers hold one waiting call for each. Failed calls are retried
 * with exponential back-off and jitter, and calls of one kind are at least {@code
 * MIN_CALL_INTERVAL_MILLIS} apart.
 *
 * @param <H> a folded history
 */
final class PlatformReader<H> {
    private static final int LOG_PAGE_SIZE = 500;
    private static final int VM_PAGE_SIZE = 500;
    private static final long MIN_CALL_INTERVAL_MILLIS = 100;
    private static final long BACKOFF_BASE_MILLIS = 500;
    private static final long BACKOFF_CAP_MILLIS = 30_000;
    private static final int UNREACHABLE_AFTER_FAILURES = 3;
    private static final long UNREACHABLE_REFRESH_MILLIS = 30_000;
    private static final long STABLE_MILLIS = 2_000;
    private static final long SNAPSHOT_LAG_THRESHOLD = 1_000;
    private static final long ELECTION_INTERVAL_MILLIS = 1_000;

    /** A snapshot read from the platform; without chunks if it is not ahead of this node. */
    private record SnapshotParts(SnapshotHeader header, List<byte[]> chunks) {}

    private final ControlSettings mSettings;
    private final PlatformClient mClient;
    private final GossipNode<H> mNode;
    private final ConfigFold<H> mFold;
    private final LoopExecutor mLoop;
    private final Counter mCalls;
    private final Counter mFailures;
    private final CallThrottle mLogCalls;
    private final CallThrottle mVmCalls;
    private final CallThrottle mHeadCalls;
    private WatcherElection.Role mRole = WatcherElection.Role.PASSIVE;
    private long mNextElectionMillis;
    private long mNextUnreachableNoticeMillis;
    private long mPlatformHead = -1;
    private long mPeerlessSinceMillis;
    private long mElectedSinceMillis;
    private boolean mPlatformUnreachable;
    private long mResumeCount;
    private boolean mHeadNeeded = true;
    private boolean mVmsNeeded = true;
    private boolean mFailed;
    private boolean mSnapshotTried;

    /** Runs tasks on the loop's thread and supplies the current time. */
    interface LoopExecutor {
        void execute(Runnable task);

        long nowMillis();
    }

    PlatformReader(
            ControlSettings settings,
            PlatformClient client,
            GossipNode<H> node,
            ConfigFold<H> fold,
            LoopExecutor loop,
            MetricRegistry metrics) {
        mSettings = settings;
        mClient = client;
        mNode = node;
        mFold = fold;
        mLoop = loop;
        mCalls = metrics.counter("platform.calls");
        mFailures = metrics.counter("platform.failures");
        long firstMillis = loop.nowMillis() + Math.floorMod(settings.seed(), jitterBound());
        mLogCalls = new CallThrottle(settings.seed(), firstMillis);
        mVmCalls = new CallThrottle(settings.seed() + 1, firstMillis);
        mHeadCalls = new CallThrottle(settings.seed() + 2, firstMillis);
        mPeerlessSinceMillis = loop.nowMillis();
        mElectedSinceMillis = loop.nowMillis();
    }

    boolean hasAnswered() {
        return mPlatformHead >= 0;
    }

    boolean hasFailed() {
        return mFailed;
    }

    boolean vmsListed() {
        return !mVmsNeeded;
    }

    long head() {
        return mPlatformHead;
    }

    WatcherElection.Role role() {
        return mRole;
    }

    /**
     * Called after the process resumed from a pause; one call checks whether the platform's log has
     * advanced.
     */
    void onResumed() {
        mResumeCount++;
        mHeadNeeded = true;
    }

    void tick(long nowMillis) {
        if (nowMillis >= mNextElectionMillis) {
            mNextElectionMillis = nowMillis + ELECTION_INTERVAL_MILLIS;
            elect(nowMillis);
        }
        if (mNode.establishedLinks() > 0) {
            mPeerlessSinceMillis = nowMillis;
        }
        readHead(nowMillis);
        readVms(nowMillis);
        readLog(nowMillis);
        if (mPlatformUnreachable && nowMillis >= mNextUnreachableNoticeMillis) {
            mNextUnreachableNoticeMillis = nowMillis + UNREACHABLE_REFRESH_MILLIS;
            mNode.announcePlatformState(true, nowMillis);
        }
    }

    private void elect(long nowMillis) {
        mRole =
                WatcherElection.roleOf(
                        mSettings.vm(),
                        mNode.view().nodes(),
                        mNode.view()::unreachable,
                        mNode::lostPlatform);
        if (mRole == WatcherElection.Role.PASSIVE) {
            mElectedSinceMillis = nowMillis;
        }
    }

    private void readHead(long nowMillis) {
        if (mHeadNeeded && mHeadCalls.tryStart(nowMillis)) {
            long from = mNode.position() + 1;
            long resumeCount = mResumeCount;
            startCall(
                    mHeadCalls,
                    () -> mClient.readLog(from, 0, 0),
                    (page, now) -> onHead(page, resumeCount == mResumeCount));
        }
    }

    private void readVms(long nowMillis) {
        boolean watching = isWatching(nowMillis);
        if ((!mVmsNeeded && !watching) || !mVmCalls.tryStart(nowMillis)) {
            return;
        }
        long since = mNode.vmRevision();
        long waitMillis = mVmsNeeded ? 0 : mSettings.watchTimeoutMillis();
        startCall(
                mVmCalls,
                () -> mClient.readVms(since, VM_PAGE_SIZE, waitMillis),
                (page, now) -> onVms(since, page, now));
    }

    private void readLog(long nowMillis) {
        if (!isWatching(nowMillis) || !mLogCalls.tryStart(nowMillis)) {
            return;
        }
        long from = mNode.position() + 1;
        if (mPlatformHead - from > SNAPSHOT_LAG_THRESHOLD && !mSnapshotTried) {
            mSnapshotTried = true;
            startCall(mLogCalls, this::readSnapshot, this::onSnapshot);
            return;
        }
        startCall(
                mLogCalls,
                () -> mClient.readLog(from, LOG_PAGE_SIZE, mSettings.watchTimeoutMillis()),
                this::onLog);
    }

    /**
     * Returns whether this node holds watches: it is elected, or no peer has been connected for a
     * while, so that no other node can update it.
     *
     * <p>A node that starts knows only itself and elects itself. If it acted on that at once, the
     * start of a whole fleet would place two waiting calls for each node on the platform.
     */
    private boolean isWatching(long nowMillis) {
        boolean elected =
                mRole != WatcherElection.Role.PASSIVE
                        && nowMillis - mElectedSinceMillis > STABLE_MILLIS;
        boolean peerless = nowMillis - mPeerlessSinceMillis > STABLE_MILLIS;
        return !mHeadNeeded && (elected || peerless);
    }

    private boolean onHead(LogPage page, boolean requestedSinceResume) {
        mPlatformHead = Math.max(mPlatformHead, page.head());
        mHeadNeeded = !requestedSinceResume;
        boolean fresh = mNode.onPublished(page);
        if (fresh && requestedSinceResume && page.head() <= mNode.position()) {
            mNode.onPlatformConfirmed();
        }
        return fresh;
    }

    private boolean onVms(long since, VmPage page, long nowMillis) {
        mVmsNeeded = false;
        return mNode.onPublishedVms(since, page, nowMillis);
    }

    private boolean onLog(LogPage page, long nowMillis) {
        mPlatformHead = Math.max(mPlatformHead, page.head());
        return mNode.onPublished(page);
    }

    private CompletableFuture<SnapshotParts> readSnapshot() {
        return mClient.readSnapshotHeader()
                .thenCompose(
                        header ->
                                header.position() <= mNode.position()
                                        ? CompletableFuture.completedFuture(
                                                new SnapshotParts(header, List.of()))
                                        : readChunks(header, new ArrayList<>()));
    }

    private CompletableFuture<SnapshotParts> readChunks(
            SnapshotHeader header, List<byte[]> chunks) {
        if (chunks.size() == header.chunks()) {
            return CompletableFuture.completedFuture(new SnapshotParts(header, chunks));
        }
        mCalls.inc();
        return mClient.readSnapshotChunk(header.position(), chunks.size())
                .thenCompose(
                        chunk -> {
                            chunks.add(chunk);
                            return readChunks(header, chunks);
                        });
    }

    private boolean onSnapshot(SnapshotParts parts, long nowMillis) {
        if (parts.chunks().isEmpty()) {
            return true;
        }
        ForkJoinPool.commonPool()
                .execute(
                        () -> {
                            H snapshot = decodeOrNull(parts.chunks());
                            String digest = snapshot == null ? null : mFold.digest(snapshot);
                            mLoop.execute(() -> mNode.onPublishedSnapshot(snapshot, digest));
                        });
        return true;
    }

    private H decodeOrNull(List<byte[]> chunks) {
        try {
            return mFold.decode(chunks);
        } catch (RuntimeException e) {
            return null;
        }
    }

    /** Handles an answer; returns whether it was at least as recent as this node's state. */
    private interface AnswerHandler<T> {
        boolean handle(T answer, long nowMillis);
    }

    private <T> void startCall(
            CallThrottle throttle, Supplier<CompletableFuture<T>> call, AnswerHandler<T> handler) {
        mCalls.inc();
        throttle.mInFlight = true;
        BiConsumer<T, Throwable> onCompletion =
                (answer, failure) ->
                        mLoop.execute(() -> onCallCompleted(throttle, answer, failure, handler));
        try {
            call.get().whenComplete(onCompletion);
        } catch (RuntimeException e) {
            onCompletion.accept(null, e);
        }
    }

    private <T> void onCallCompleted(
            CallThrottle throttle, T answer, Throwable failure, AnswerHandler<T> handler) {
        long nowMillis = mLoop.nowMillis();
        throttle.mInFlight = false;
        if (failure != null) {
            mFailures.inc();
            mFailed = true;
            throttle.mNextCallMillis = nowMillis + throttle.mBackoff.onFailure();
            detectUnreachablePlatform(throttle, nowMillis);
            return;
        }
        boolean fresh = handler.handle(answer, nowMillis);
        if (fresh) {
            throttle.mBackoff.onSuccess();
            throttle.mNextCallMillis = Math.max(nowMillis, throttle.mNextCallMillis);
        } else {
            throttle.mNextCallMillis = nowMillis + throttle.mBackoff.onFailure();
        }
        if (mPlatformUnreachable) {
            mPlatformUnreachable = false;
            mNode.announcePlatformState(false, nowMillis);
        }
    }

    private void detectUnreachablePlatform(CallThrottle throttle, long nowMillis) {
        boolean candidate = mRole != WatcherElection.Role.PASSIVE;
        if (candidate
                && !mPlatformUnreachable
                && throttle.mBackoff.failures() >= UNREACHABLE_AFTER_FAILURES) {
            mPlatformUnreachable = true;
            mNextUnreachableNoticeMillis = nowMillis;
        }
    }

    private long jitterBound() {
        return Math.max(1, mSettings.startJitterMillis());
    }

    /** Throttles calls of one kind: one at a time, with a minimum interval and a back-off. */
    private static final class CallThrottle {
        private final Backoff mBackoff;
        private boolean mInFlight;
        private long mNextCallMillis;

        CallThrottle(long seed, long firstMillis) {
            mBackoff = new Backoff(BACKOFF_BASE_MILLIS, BACKOFF_CAP_MILLIS, seed);
            mNextCallMillis = firstMillis;
        }

        /** Returns whether a call may start now; if so, the minimum interval starts now. */
        boolean tryStart(long nowMillis) {
            if (mInFlight || nowMillis < mNextCallMillis) {
                return false;
            }
            mNextCallMillis = nowMillis + MIN_CALL_INTERVAL_MILLIS;
            return true;
        }
    }
}

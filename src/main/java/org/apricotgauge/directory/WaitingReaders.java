package org.apricotgauge.directory;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.function.Predicate;
import org.apricotgauge.model.ChangesRequest;
import org.apricotgauge.model.Checks;
import org.apricotgauge.model.StorePosition;

/**
 * Queues the requests of nodes that read the site from this one. A request is answered at a change
 * or once the view is fresh enough, whichever it requested, and at its timeout at the latest.
 *
 * <pre>{@code
 * readers.submit(request, answer, nowMillis);
 * readers.answerDue(nowMillis);      // every tick, and after each change of the view
 * }</pre>
 *
 * <p>Not thread-safe.
 */
final class WaitingReaders {
    /** Requests beyond this limit are answered at once; a node has few children in the tree. */
    static final int MAX_WAITING = 256;

    private final View mView;
    private final PlatformTimes mTimes;
    private final List<Reader> mWaiting = new ArrayList<>();

    /** This node's view of the site. */
    interface View {
        /** Returns the current items. */
        ItemTable items();

        /** Returns the writes that this node knows and the platform lost. */
        LostWrites lostWrites();

        /** Returns the age of the view, in milliseconds. */
        long ageMillis();

        /** Returns whether the age is known; it is unknown right after a start or a pause. */
        boolean isAgeKnown();

        /** Requests a fresher view; returns false if no source is available. */
        boolean requestRefresh();

        /** Called after a request for a fresher view timed out and was answered with this view. */
        void onStaleAnswer();
    }

    /** A waiting request: for a change, or else for a fresher view. */
    private record Reader(
            StorePosition after,
            boolean waitsForChange,
            long lostWritesDigest,
            long deadlineMillis,
            CompletableFuture<PublishedPage> answer) {}

    WaitingReaders(View view, PlatformTimes times) {
        mView = Checks.notNull("view", view);
        mTimes = Checks.notNull("times", times);
    }

    /**
     * Answers a request at once if possible, and queues it otherwise.
     *
     * @param request the request
     * @param answer completed with the answer
     * @param nowMillis present time
     */
    void submit(ChangesRequest request, CompletableFuture<PublishedPage> answer, long nowMillis) {
        boolean waitsForChange = request.waitMillis() > 0;
        long timeoutMillis =
                waitsForChange
                        ? Math.min(request.waitMillis(), DirectoryFeed.WATCH_MILLIS)
                        : mTimes.nodeTimeoutMillis();
        StorePosition after =
                request.tellsEra()
                        ? request.after()
                        : mView.items().position().at(request.after().revision());
        Reader reader =
                new Reader(
                        after,
                        waitsForChange,
                        mView.lostWrites().digest(),
                        nowMillis + timeoutMillis,
                        answer);
        boolean isReady = isSatisfied(reader) || mWaiting.size() >= MAX_WAITING;
        if (isReady || (!waitsForChange && !mView.requestRefresh())) {
            answer(reader);
        } else {
            mWaiting.add(reader);
        }
    }

    private boolean isSatisfied(Reader reader) {
        return reader.waitsForChange()
                ? mView.items().hasChangesFor(reader.after())
                        || mView.lostWrites().digest() != reader.lostWritesDigest()
                : mView.isAgeKnown() && mView.ageMillis() <= mTimes.maxFreshAgeMillis();
    }

    /** Answers all requests that are satisfied or timed out. */
    void answerDue(long nowMillis) {
        if (mWaiting.isEmpty()) {
            return;
        }
        removeIf(this::isSatisfied).forEach(this::answer);
        List<Reader> expired = removeIf(reader -> nowMillis >= reader.deadlineMillis());
        expired.forEach(this::answer);
        if (expired.stream().anyMatch(reader -> !reader.waitsForChange())) {
            mView.onStaleAnswer();
        }
    }

    private List<Reader> removeIf(Predicate<Reader> isDue) {
        List<Reader> due = mWaiting.stream().filter(isDue).toList();
        mWaiting.removeAll(due);
        return due;
    }

    private void answer(Reader reader) {
        long ageMillis = mView.isAgeKnown() ? mView.ageMillis() : PublishedPage.UNKNOWN_AGE;
        PublishedPage page = mView.items().changesAfter(reader.after());
        reader.answer()
                .complete(page.withAgeMillis(ageMillis).withLostWrites(mView.lostWrites().items()));
    }
}

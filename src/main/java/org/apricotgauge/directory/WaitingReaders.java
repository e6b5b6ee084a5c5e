package org.apricotgauge.directory;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.function.Predicate;
import org.apricotgauge.model.Checks;

/**
 * The nodes that read the site from this one, while they wait for an answer: for a change, or for a
 * view that is young enough.
 *
 * <pre>{@code
 * readers.ask(afterRevision, waitMillis, answer, nowMillis);
 * readers.answer(nowMillis);      // every tick, and after each change of the view
 * }</pre>
 *
 * <p>Not thread-safe.
 */
final class WaitingReaders {
    /** More than these are answered at once; a node has few children in the tree. */
    static final int MAX_WAITING = 256;

    private final View mView;
    private final PlatformTimes mTimes;
    private final List<Reader> mWaiting = new ArrayList<>();

    /** This node's view, and what it can do about it. */
    interface View {
        /** Returns the items as known now. */
        ItemTable items();

        /** Returns the age of the view, in milliseconds. */
        long ageMillis();

        /** Returns whether the age is known; a node that has just started or woken can't tell. */
        boolean isAgeKnown();

        /** Asks for a younger view; returns false if nobody can be asked. */
        boolean requestRefresh();

        /** A reader was answered though the view it was told is no younger. */
        void onStaleAnswer();
    }

    /** One that waits; {@code forChange} or else for a younger view. */
    private record Reader(
            long afterRevision,
            boolean waitsForChange,
            long deadlineMillis,
            CompletableFuture<PublishedPage> answer) {}

    WaitingReaders(View view, PlatformTimes times) {
        mView = Checks.notNull("view", view);
        mTimes = Checks.notNull("times", times);
    }

    /**
     * Takes a question.
     *
     * @param afterRevision revision that the reader has
     * @param waitMillis how long it waits for a change; 0 if it asks for a younger view
     * @param answer takes the answer
     * @param nowMillis present time
     */
    void submit(
            long afterRevision,
            long waitMillis,
            CompletableFuture<PublishedPage> answer,
            long nowMillis) {
        boolean forChange = waitMillis > 0;
        long patienceMillis =
                forChange
                        ? Math.min(waitMillis, DirectoryFeed.WATCH_MILLIS)
                        : mTimes.nodeTimeoutMillis();
        Reader reader = new Reader(afterRevision, forChange, nowMillis + patienceMillis, answer);
        boolean isReady = isSatisfied(reader) || mWaiting.size() >= MAX_WAITING;
        if (isReady || (!forChange && !mView.requestRefresh())) {
            answer(reader);
        } else {
            mWaiting.add(reader);
        }
    }

    private boolean isSatisfied(Reader reader) {
        return reader.waitsForChange()
                ? mView.items().hasChangesFor(reader.afterRevision())
                : mView.isAgeKnown() && mView.ageMillis() <= mTimes.maxFreshAgeMillis();
    }

    /** Answers whoever has what it waits for, or has waited for long enough. */
    void answerDue(long nowMillis) {
        removeIf(this::isSatisfied).forEach(this::answer);
        List<Reader> late = removeIf(reader -> nowMillis >= reader.deadlineMillis());
        late.forEach(this::answer);
        if (late.stream().anyMatch(reader -> !reader.waitsForChange())) {
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
        PublishedPage page = mView.items().changesAfter(reader.afterRevision());
        reader.answer().complete(page.withAgeMillis(ageMillis));
    }
}

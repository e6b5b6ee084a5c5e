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
final class NodeReaders {
    /** More than these are answered at once; a node has few children in the tree. */
    static final int MOST = 256;

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
        boolean knowsAge();

        /** Asks for a younger view; returns false if nobody can be asked. */
        boolean makeYounger();

        /** A reader was answered though the view it was told is no younger. */
        void stayedOld();
    }

    /** One that waits; {@code forChange} or else for a younger view. */
    private record Reader(
            long afterRevision,
            boolean forChange,
            long untilMillis,
            CompletableFuture<PublishedPage> answer) {}

    NodeReaders(View view, PlatformTimes times) {
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
    void ask(
            long afterRevision,
            long waitMillis,
            CompletableFuture<PublishedPage> answer,
            long nowMillis) {
        boolean forChange = waitMillis > 0;
        long patienceMillis =
                forChange
                        ? Math.min(waitMillis, DirectoryFeed.WATCH_MILLIS)
                        : mTimes.nodeAnswerMillis();
        Reader reader = new Reader(afterRevision, forChange, nowMillis + patienceMillis, answer);
        boolean isReady = isSatisfied(reader) || mWaiting.size() >= MOST;
        if (isReady || (!forChange && !mView.makeYounger())) {
            tell(reader);
        } else {
            mWaiting.add(reader);
        }
    }

    private boolean isSatisfied(Reader reader) {
        return reader.forChange()
                ? mView.items().hasNewsFor(reader.afterRevision())
                : mView.knowsAge() && mView.ageMillis() <= mTimes.youngMillis();
    }

    /** Answers whoever has what it waits for, or has waited for long enough. */
    void answer(long nowMillis) {
        takeIf(this::isSatisfied).forEach(this::tell);
        List<Reader> late = takeIf(reader -> nowMillis >= reader.untilMillis());
        late.forEach(this::tell);
        if (late.stream().anyMatch(reader -> !reader.forChange())) {
            mView.stayedOld();
        }
    }

    private List<Reader> takeIf(Predicate<Reader> isDue) {
        List<Reader> due = mWaiting.stream().filter(isDue).toList();
        mWaiting.removeAll(due);
        return due;
    }

    private void tell(Reader reader) {
        long ageMillis = mView.knowsAge() ? mView.ageMillis() : PublishedPage.UNKNOWN_AGE;
        PublishedPage page = mView.items().changesAfter(reader.afterRevision());
        reader.answer().complete(page.agedMillis(ageMillis));
    }
}

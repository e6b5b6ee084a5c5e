package org.apricotgauge.directory;

import java.io.IOException;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.CompletableFuture;
import java.util.function.Predicate;
import org.apricotgauge.directory.SimulatedSite.SiteNode;
import org.apricotgauge.time.ManualTicker;

/**
 * The platform of a {@link SimulatedSite}: it counts its calls and remembers when it was told what.
 */
final class SimulatedPlatform {
    private final ManualTicker mTicker;
    private final Map<String, TreeMap<Long, Write>> mWrites = new TreeMap<>();
    private final Map<String, PublishedItem> mItems = new TreeMap<>();
    private final List<WaitingWatch> mWatches = new ArrayList<>();
    private final List<Long> mCallsAtMillis = new ArrayList<>();
    private long mRevision;
    private long mHistoryStartRevision;
    private boolean mUnavailable;
    private boolean mLosesAnswers;
    private long mDisturbedAtMillis;

    private record Write(long atMillis, boolean removed) {}

    private record WaitingWatch(
            long afterRevision,
            long untilMillis,
            SiteNode reader,
            CompletableFuture<PublishedPage> answer) {}

    SimulatedPlatform(ManualTicker ticker) {
        mTicker = ticker;
    }

    /** Writes an item. */
    void publish(String key, String value) {
        write(new PublishedItem(key, value.getBytes(), ++mRevision, false));
    }

    /** Removes an item. */
    void remove(String key) {
        write(PublishedItem.removed(key, ++mRevision));
    }

    private void write(PublishedItem item) {
        mItems.put(item.key(), item);
        mWrites.computeIfAbsent(item.key(), key -> new TreeMap<>())
                .put(mRevision, new Write(mTicker.millis(), item.removed()));
        answerDue();
    }

    /** Refuses all calls from now on and cuts those that wait; or serves again. */
    void setUnavailable(boolean away) {
        mUnavailable = away;
        recordDisturbance();
        if (away) {
            List<WaitingWatch> cut = List.copyOf(mWatches);
            mWatches.clear();
            cut.forEach(watch -> watch.answer().completeExceptionally(new IOException("reset")));
        }
    }

    /** Loses every answer from now on; or not any longer. */
    void setLosesAnswers(boolean loses) {
        mLosesAnswers = loses;
        recordDisturbance();
    }

    /** Forgets all changes up to now. */
    void dropHistory() {
        mHistoryStartRevision = mRevision;
        mItems.values().removeIf(PublishedItem::removed);
    }

    /** Loses waiting watches without a word. */
    void dropWatches(Predicate<SiteNode> isOf) {
        mWatches.removeIf(watch -> isOf.test(watch.reader()));
    }

    /** Something about the platform's service is different from now on. */
    void recordDisturbance() {
        mDisturbedAtMillis = mTicker.millis();
    }

    /** Returns whether the platform has served as it should for a time. */
    boolean isStableFor(long millis) {
        return !mUnavailable && !mLosesAnswers && mTicker.millis() - mDisturbedAtMillis >= millis;
    }

    /** Takes a call. */
    void read(SiteNode reader, long after, long waitMillis, CompletableFuture<PublishedPage> to) {
        mCallsAtMillis.add(mTicker.millis());
        if (mUnavailable || reader.isRefused()) {
            to.completeExceptionally(new IOException("refused"));
            return;
        }
        if (!mLosesAnswers) {
            mWatches.add(new WaitingWatch(after, mTicker.millis() + waitMillis, reader, to));
            answerDue();
        }
    }

    /** Answers what has something to tell or has waited for long enough. */
    void answerDue() {
        if (mUnavailable || mLosesAnswers) {
            return;
        }
        List<WaitingWatch> due =
                mWatches.stream()
                        .filter(
                                watch ->
                                        watch.afterRevision() < mRevision
                                                || watch.untilMillis() <= mTicker.millis())
                        .toList();
        mWatches.removeAll(due);
        due.forEach(watch -> watch.answer().complete(page(watch.afterRevision())));
    }

    private PublishedPage page(long after) {
        boolean whole = after < mHistoryStartRevision || after == 0;
        List<PublishedItem> items =
                mItems.values().stream()
                        .filter(item -> whole ? !item.removed() : item.revision() > after)
                        .sorted(Comparator.comparingLong(PublishedItem::revision))
                        .toList();
        return new PublishedPage(mRevision, whole, items);
    }

    /** Returns the calls of the last milliseconds. */
    long callsInLast(long millis) {
        return mCallsAtMillis.stream().filter(at -> at > mTicker.millis() - millis).count();
    }

    /** Returns the nodes whose watches wait. */
    List<SiteNode> readers() {
        return mWatches.stream().map(WaitingWatch::reader).distinct().toList();
    }

    /** Returns when the earliest change was written that a table lacks; now if it lacks none. */
    long earliestMissingChangeMillis(ItemTable items) {
        long earliest = mTicker.millis();
        for (Map.Entry<String, TreeMap<Long, Write>> key : mWrites.entrySet()) {
            PublishedItem item = items.item(key.getKey());
            long known = item == null ? 0 : item.revision();
            boolean isGone = item == null || item.removed();
            boolean isSame = isGone && key.getValue().lastEntry().getValue().removed();
            Map.Entry<Long, Write> unknown = key.getValue().higherEntry(known);
            if (unknown != null && !isSame) {
                earliest = Math.min(earliest, unknown.getValue().atMillis());
            }
        }
        return earliest;
    }
}

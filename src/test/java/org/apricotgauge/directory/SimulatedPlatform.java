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

/** The platform of a {@link SimulatedSite}, which records its calls and the times of all writes. */
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

    /** Refuses all calls from now on and fails pending ones, or serves again. */
    void setUnavailable(boolean unavailable) {
        mUnavailable = unavailable;
        recordDisturbance();
        if (unavailable) {
            List<WaitingWatch> failed = List.copyOf(mWatches);
            mWatches.clear();
            failed.forEach(watch -> watch.answer().completeExceptionally(new IOException("reset")));
        }
    }

    /** Drops every answer from now on, or answers again. */
    void setLosesAnswers(boolean losesAnswers) {
        mLosesAnswers = losesAnswers;
        recordDisturbance();
    }

    /** Drops the history of all changes so far. */
    void dropHistory() {
        mHistoryStartRevision = mRevision;
        mItems.values().removeIf(PublishedItem::removed);
    }

    /** Silently drops pending watches. */
    void dropWatches(Predicate<SiteNode> isAffected) {
        mWatches.removeIf(watch -> isAffected.test(watch.reader()));
    }

    /** Records that the platform's behavior changes now. */
    void recordDisturbance() {
        mDisturbedAtMillis = mTicker.millis();
    }

    /** Returns whether the platform has served normally for a time. */
    boolean isStableFor(long millis) {
        return !mUnavailable && !mLosesAnswers && mTicker.millis() - mDisturbedAtMillis >= millis;
    }

    /** Handles a call. */
    void read(
            SiteNode reader, long after, long waitMillis, CompletableFuture<PublishedPage> answer) {
        mCallsAtMillis.add(mTicker.millis());
        if (mUnavailable || reader.isRefused()) {
            answer.completeExceptionally(new IOException("refused"));
            return;
        }
        if (!mLosesAnswers) {
            mWatches.add(new WaitingWatch(after, mTicker.millis() + waitMillis, reader, answer));
            answerDue();
        }
    }

    /** Answers all calls with changes to report or an expired wait. */
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
        boolean isFull = after < mHistoryStartRevision || after == 0;
        List<PublishedItem> items =
                mItems.values().stream()
                        .filter(item -> isFull ? !item.removed() : item.revision() > after)
                        .sorted(Comparator.comparingLong(PublishedItem::revision))
                        .toList();
        return new PublishedPage(mRevision, isFull, items);
    }

    /** Returns the number of calls in the last milliseconds. */
    long callsInLast(long millis) {
        return mCallsAtMillis.stream()
                .filter(atMillis -> atMillis > mTicker.millis() - millis)
                .count();
    }

    /** Returns the nodes with pending watches. */
    List<SiteNode> readers() {
        return mWatches.stream().map(WaitingWatch::reader).distinct().toList();
    }

    /** Returns when the earliest change that a table lacks was written; now if it lacks none. */
    long earliestMissingChangeMillis(ItemTable items) {
        long earliest = mTicker.millis();
        for (Map.Entry<String, TreeMap<Long, Write>> key : mWrites.entrySet()) {
            PublishedItem item = items.item(key.getKey());
            long knownRevision = item == null ? 0 : item.revision();
            boolean isRemoved = item == null || item.removed();
            boolean isSame = isRemoved && key.getValue().lastEntry().getValue().removed();
            Map.Entry<Long, Write> missing = key.getValue().higherEntry(knownRevision);
            if (missing != null && !isSame) {
                earliest = Math.min(earliest, missing.getValue().atMillis());
            }
        }
        return earliest;
    }
}

package org.apricotgauge.decision.detection;

import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Set;
import java.util.function.Consumer;
import org.apricotgauge.model.DetectionOdds;

/**
 * The evidence received from other nodes.
 *
 * <p>Counts of guards are added to the common view of the guards. Each remote entry has a view of
 * its own, and the entries are combined by quorum: the sum of their statistics without the largest.
 * A degraded entry, or one behind a broken path, is alone in its observations and so ejects no
 * target at other nodes.
 */
final class RemoteEvidence {
    /**
     * Maximum number of remote entries with a view; more would cost memory and add little evidence.
     */
    private static final int MAX_ENTRIES = 8;

    private static final long IDLE_TIMEOUT_MILLIS = 60_000;

    private DetectionOdds mOdds;
    private final EvidenceView mGuardView;
    private final Map<String, EvidenceDigest> mLastDigests = new HashMap<>();
    private final Map<String, Long> mReceivedMillis = new HashMap<>();
    private final Map<String, EvidenceView> mEntryViews = new LinkedHashMap<>();

    RemoteEvidence(DetectionOdds odds, EvidenceView guards) {
        mOdds = odds;
        mGuardView = guards;
    }

    /** Receives the guard counts that a digest adds. */
    @FunctionalInterface
    interface GuardCountsListener {
        void countsAdded(String targetId, int[] counts);
    }

    void merge(
            String reporter, EvidenceDigest digest, long nowMillis, GuardCountsListener listener) {
        if (digest.formatVersion() != EvidenceDigest.FORMAT_VERSION) {
            return;
        }
        EvidenceDigest last = mLastDigests.get(reporter);
        if (last != null && !isNewer(digest, last)) {
            return;
        }
        mLastDigests.put(reporter, digest);
        mReceivedMillis.put(reporter, nowMillis);
        removeIdle(nowMillis);
        if (last == null) {
            // A first digest holds hours of counts in unknown order: it is only a starting point.
            return;
        }
        boolean isRestarted = digest.incarnation() != last.incarnation();
        for (EvidenceDigest.TargetEvidence now : digest.targets()) {
            EvidenceDigest.TargetEvidence before = isRestarted ? null : find(last, now.targetId());
            addGuard(now, before, nowMillis, listener);
            addEntry(reporter, now, before, nowMillis);
        }
    }

    private static boolean isNewer(EvidenceDigest digest, EvidenceDigest last) {
        if (digest.incarnation() != last.incarnation()) {
            return digest.incarnation() > last.incarnation();
        }
        return digest.sequence() > last.sequence();
    }

    private static EvidenceDigest.TargetEvidence find(EvidenceDigest digest, String targetId) {
        for (EvidenceDigest.TargetEvidence evidence : digest.targets()) {
            if (evidence.targetId().equals(targetId)) {
                return evidence;
            }
        }
        return null;
    }

    private void addGuard(
            EvidenceDigest.TargetEvidence now,
            EvidenceDigest.TargetEvidence before,
            long nowMillis,
            GuardCountsListener listener) {
        if (now.guard() == null) {
            return;
        }
        int[] counts = difference(now.guard(), before == null ? null : before.guard());
        if (isEmpty(counts)) {
            return;
        }
        mGuardView.addBatch(now.targetId(), counts, nowMillis);
        listener.countsAdded(now.targetId(), counts);
    }

    private void addEntry(
            String reporter,
            EvidenceDigest.TargetEvidence now,
            EvidenceDigest.TargetEvidence before,
            long nowMillis) {
        if (now.entry() == null) {
            return;
        }
        if (!mEntryViews.containsKey(reporter) && mEntryViews.size() >= MAX_ENTRIES) {
            return;
        }
        int[] counts = difference(now.entry(), before == null ? null : before.entry());
        if (!isEmpty(counts)) {
            mEntryViews
                    .computeIfAbsent(reporter, key -> new EvidenceView(mOdds))
                    .addBatch(now.targetId(), counts, nowMillis);
        }
    }

    private static int[] difference(
            EvidenceDigest.EvidenceCounts now, EvidenceDigest.EvidenceCounts before) {
        int[] counts = new int[Category.COUNT];
        add(counts, now, 1);
        if (before != null) {
            add(counts, before, -1);
        }
        for (int category = 0; category < counts.length; category++) {
            counts[category] = Math.max(0, counts[category]);
        }
        return counts;
    }

    private static void add(int[] counts, EvidenceDigest.EvidenceCounts evidence, int sign) {
        for (int i = 0; i < evidence.latencyCounts().size(); i++) {
            counts[evidence.firstBin() + i] += sign * evidence.latencyCounts().get(i).intValue();
        }
        counts[Category.FAILURE] += sign * (int) evidence.failures();
    }

    private static boolean isEmpty(int[] counts) {
        for (int count : counts) {
            if (count > 0) {
                return false;
            }
        }
        return true;
    }

    private void removeIdle(long nowMillis) {
        mReceivedMillis.values().removeIf(received -> nowMillis - received > IDLE_TIMEOUT_MILLIS);
        mLastDigests.keySet().retainAll(mReceivedMillis.keySet());
        mEntryViews.keySet().retainAll(mReceivedMillis.keySet());
    }

    /** Returns the combined evidence of the remote entries against a target. */
    Finding quorumFinding(String targetId, double thresholdNats) {
        double sum = 0;
        Finding strongest = Finding.none(thresholdNats);
        for (EvidenceView view : mEntryViews.values()) {
            Finding finding = view.finding(targetId);
            sum += finding.nats();
            strongest = finding.nats() > strongest.nats() ? finding : strongest;
        }
        return new Finding(
                strongest.test(), sum - strongest.nats(), thresholdNats, strongest.natsPerSample());
    }

    void setOdds(DetectionOdds odds) {
        mOdds = odds;
        mEntryViews.values().forEach(view -> view.setOdds(odds));
    }

    void retain(Set<String> targetIds) {
        mEntryViews.values().forEach(view -> view.retain(targetIds));
    }

    /** Applies an action to the view of every remote entry. */
    void forEachView(Consumer<EvidenceView> action) {
        mEntryViews.values().forEach(action);
    }
}

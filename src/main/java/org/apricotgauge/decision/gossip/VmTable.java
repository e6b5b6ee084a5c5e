package org.apricotgauge.decision.gossip;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.NavigableMap;
import java.util.TreeMap;

/**
 * The local copy of the platform's VM list, which can return the changes since any revision.
 *
 * <p>Each line carries the revision at which it was valid; of two lines of one VM, the one with the
 * later revision wins.
 */
final class VmTable {
    private static final int MAX_REMOVED = 20_000;

    private final Map<String, VmLine> mLines = new HashMap<>();
    private final NavigableMap<Long, Map<String, VmLine>> mByRevision = new TreeMap<>();
    private long mRevision;
    private int mRemovedCount;

    long revision() {
        return mRevision;
    }

    int listedCount() {
        return mLines.size() - mRemovedCount;
    }

    /**
     * Applies the changes between two revisions.
     *
     * @return the lines that changed the table; empty if there is a gap before them or none is new
     */
    List<VmLine> apply(long sinceRevision, long revision, List<VmLine> lines) {
        List<VmLine> changed = new ArrayList<>();
        if (sinceRevision > mRevision) {
            return changed;
        }
        for (VmLine line : lines) {
            VmLine old = mLines.get(line.id());
            if (old == null || old.revision() < line.revision()) {
                replace(old, line);
                changed.add(line);
            }
        }
        mRevision = Math.max(mRevision, revision);
        return changed;
    }

    /** Returns at most about {@code limit} changes after a revision. */
    PeerMessage.VmChanges changesSince(long sinceRevision, int limit) {
        List<VmLine> lines = new ArrayList<>();
        long lastRevision = sinceRevision;
        for (Map.Entry<Long, Map<String, VmLine>> entry :
                mByRevision.tailMap(sinceRevision, false).entrySet()) {
            // All lines of one revision are sent together: a reader that stopped within a revision
            // would never receive the remaining lines.
            if (!lines.isEmpty() && lines.size() + entry.getValue().size() > limit) {
                return new PeerMessage.VmChanges(sinceRevision, lastRevision, lines);
            }
            lines.addAll(entry.getValue().values());
            lastRevision = entry.getKey();
        }
        return new PeerMessage.VmChanges(sinceRevision, mRevision, lines);
    }

    private void replace(VmLine old, VmLine line) {
        if (old != null) {
            unlink(old);
        }
        mLines.put(line.id(), line);
        mByRevision.computeIfAbsent(line.revision(), r -> new HashMap<>()).put(line.id(), line);
        if (line.removed()) {
            mRemovedCount++;
        }
    }

    private void unlink(VmLine line) {
        mLines.remove(line.id());
        Map<String, VmLine> same = mByRevision.get(line.revision());
        same.remove(line.id());
        if (same.isEmpty()) {
            mByRevision.remove(line.revision());
        }
        if (line.removed()) {
            mRemovedCount--;
        }
    }

    /**
     * Evicts the oldest removals beyond the bound and returns the IDs of their VMs.
     *
     * <p>22,000 VMs are replaced per day; without eviction, the table would grow without bound.
     */
    List<String> evictOldRemovals() {
        if (mRemovedCount <= MAX_REMOVED) {
            return List.of();
        }
        List<VmLine> oldest =
                mByRevision.values().stream()
                        .flatMap(same -> same.values().stream())
                        .filter(VmLine::removed)
                        .limit(mRemovedCount - MAX_REMOVED / 2L)
                        .toList();
        oldest.forEach(this::unlink);
        return oldest.stream().map(VmLine::id).toList();
    }
}

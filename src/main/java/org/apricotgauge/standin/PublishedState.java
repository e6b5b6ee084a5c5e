package org.apricotgauge.standin;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.apricotgauge.model.VmStatus;
import org.apricotgauge.platform.LogPage;
import org.apricotgauge.platform.LogRecord;
import org.apricotgauge.platform.SnapshotHeader;
import org.apricotgauge.platform.VmPage;

/** What the stand-in publishes, with the views that a stale answer needs; guards itself. */
final class PublishedState {
    private static final int MAX_VALUE_CHARS = 900_000;

    /** The newest positions that an answer may show. */
    record Horizon(long logHead, long vmRevision) {}

    private record VmLine(long revision, String id, VmStatus status) {}

    private final List<LogRecord> mLog = new ArrayList<>();
    private final Map<String, VmLine> mVmLines = new HashMap<>();
    private long mVmRevision;
    private SnapshotHeader mSnapshot = SnapshotHeader.NONE;
    private List<byte[]> mChunks = List.of();

    synchronized Horizon horizon() {
        return new Horizon(mLog.size(), mVmRevision);
    }

    synchronized long append(String body) {
        mLog.add(new LogRecord(mLog.size() + 1L, body));
        return mLog.size();
    }

    synchronized void replaceVms(List<VmStatus> vms) {
        Set<String> listed = new HashSet<>();
        for (VmStatus status : vms) {
            String id = status.vm().id();
            listed.add(id);
            VmLine old = mVmLines.get(id);
            if (old == null || !status.equals(old.status())) {
                mVmLines.put(id, new VmLine(++mVmRevision, id, status));
            }
        }
        for (VmLine line : List.copyOf(mVmLines.values())) {
            if (!listed.contains(line.id()) && line.status() != null) {
                mVmLines.put(line.id(), new VmLine(++mVmRevision, line.id(), null));
            }
        }
    }

    synchronized void publishSnapshot(long position, List<byte[]> chunks) {
        mSnapshot = new SnapshotHeader(position, chunks.size());
        mChunks = List.copyOf(chunks);
    }

    synchronized SnapshotHeader snapshot() {
        return mSnapshot;
    }

    synchronized byte[] chunk(long position, int index) {
        boolean known = position == mSnapshot.position() && index >= 0 && index < mChunks.size();
        return known ? mChunks.get(index) : null;
    }

    synchronized LogPage log(long from, int limit, Horizon horizon) {
        List<LogRecord> entries = new ArrayList<>();
        long head = horizon.logHead();
        int chars = 0;
        for (long p = from; p <= head && entries.size() < limit; p++) {
            LogRecord entry = mLog.get((int) (p - 1));
            chars += entry.body().length();
            if (!entries.isEmpty() && chars > MAX_VALUE_CHARS) {
                break;
            }
            entries.add(entry);
        }
        return new LogPage(head, entries);
    }

    synchronized VmPage vms(long since, int limit, Horizon horizon) {
        List<VmLine> changed =
                mVmLines.values().stream()
                        .filter(line -> line.revision() > since)
                        .filter(line -> line.revision() <= horizon.vmRevision())
                        .sorted(Comparator.comparingLong(VmLine::revision))
                        .limit(limit + 1L)
                        .toList();
        boolean more = changed.size() > limit;
        List<VmLine> page = more ? changed.subList(0, limit) : changed;
        long revision = more ? page.get(page.size() - 1).revision() : horizon.vmRevision();
        List<VmStatus> vms =
                page.stream().map(VmLine::status).filter(status -> status != null).toList();
        List<String> removed =
                page.stream().filter(line -> line.status() == null).map(VmLine::id).toList();
        return new VmPage(revision, vms, removed, more);
    }
}

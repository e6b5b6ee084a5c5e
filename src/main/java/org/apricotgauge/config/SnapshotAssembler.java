package org.apricotgauge.config;

import org.apricotgauge.model.Checks;
import org.apricotgauge.model.Configuration;

/**
 * Puts the chunks of one snapshot together as they come; used by one thread.
 *
 * <pre>{@code
 * SnapshotAssembler.Result result = assembler.add(chunk);
 * }</pre>
 *
 * <p>Holds the configuration so far and none of the chunks.
 */
public final class SnapshotAssembler {
    private SnapshotChunk mFirst;
    private int mNextIndex;
    private Configuration mConfiguration = Configuration.EMPTY;
    private Rejected mRejected;

    /** What has come of the chunks so far. */
    public sealed interface Result {}

    /** More chunks are to come. */
    public record Incomplete(int nextIndex) implements Result {}

    /** The snapshot is whole, and its digest is that of its content. */
    public record Restored(ConfigHistory history) implements Result {}

    /** The chunks are no snapshot; start again with another. */
    public record Rejected(String detail) implements Result {}

    /** Takes the next chunk. */
    public Result add(SnapshotChunk chunk) {
        Checks.notNull("chunk", chunk);
        if (mRejected != null) {
            return mRejected;
        }
        String fault = fault(chunk);
        if (fault != null) {
            return reject(fault);
        }
        mFirst = mFirst == null ? chunk : mFirst;
        mNextIndex++;
        if (chunk.site() != null) {
            mConfiguration = mConfiguration.withKeysRequired(chunk.site().keysRequired());
        }
        chunk.services().forEach(s -> mConfiguration = mConfiguration.withService(s));
        chunk.targets().forEach(t -> mConfiguration = mConfiguration.withTarget(t));
        chunk.routes().forEach(r -> mConfiguration = mConfiguration.withRoute(r));
        chunk.members().forEach(m -> mConfiguration = mConfiguration.withMember(m));
        return mNextIndex < chunk.count() ? new Incomplete(mNextIndex) : finish();
    }

    private String fault(SnapshotChunk chunk) {
        if (chunk.index() != mNextIndex) {
            return "chunk " + mNextIndex + " expected, was " + chunk.index();
        }
        if (chunk.mark().rulesVersion() > Rules.NEWEST) {
            return "rules version "
                    + chunk.mark().rulesVersion()
                    + " is newer than this release knows ("
                    + Rules.NEWEST
                    + ')';
        }
        if (mFirst != null && !isOfSameSnapshot(chunk)) {
            return "chunk " + chunk.index() + " is of another snapshot";
        }
        return null;
    }

    private boolean isOfSameSnapshot(SnapshotChunk chunk) {
        return chunk.mark().equals(mFirst.mark())
                && chunk.digest().equals(mFirst.digest())
                && chunk.count() == mFirst.count();
    }

    private Result finish() {
        ConfigHistory history = ConfigHistory.restore(mFirst.mark(), mConfiguration);
        if (!history.digest().equals(mFirst.digest())) {
            return reject(
                    "digest of the content is "
                            + history.digest()
                            + ", the snapshot says "
                            + mFirst.digest());
        }
        return new Restored(history);
    }

    private Rejected reject(String detail) {
        mRejected = new Rejected(detail);
        mConfiguration = Configuration.EMPTY;
        return mRejected;
    }
}

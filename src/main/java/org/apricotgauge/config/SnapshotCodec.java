package org.apricotgauge.config;

import com.fasterxml.jackson.core.JsonProcessingException;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.List;
import java.util.function.Function;
import org.apricotgauge.model.Configuration;
import org.apricotgauge.model.Member;
import org.apricotgauge.model.Route;
import org.apricotgauge.model.Service;
import org.apricotgauge.model.Target;

/**
 * Snapshots: a history cut into chunks, and chunks as JSON text.
 *
 * <pre>{@code
 * for (SnapshotChunk chunk : SnapshotCodec.encode(history)) {
 *     send(SnapshotCodec.toJson(chunk));
 * }
 * }</pre>
 *
 * <p>A snapshot stands for the entries up to its position, as the auxiliary data of "The Key Ideas
 * Behind Boki's Shared Logs", section 4.1.3, stands for the records before it: whoever starts from
 * it and applies the entries after it has what a replay from the first entry gives.
 */
public final class SnapshotCodec {
    /** The longest chunk in bytes of JSON; below the platform's bound on a value. */
    public static final int MAX_CHUNK_BYTES = PatchCodec.MAX_BYTES;

    /** Entities fill a chunk up to here; the rest is left for the mark and the names. */
    private static final int ENTITY_BYTES = 512 * 1024;

    private SnapshotCodec() {}

    /**
     * Cuts the history into chunks; at least one.
     *
     * <p>This costs the size of the configuration (about half a second at 330,900 entities):
     * whoever serves many newcomers cuts once for each position. The chunks share their entities
     * with the history.
     */
    public static List<SnapshotChunk> encode(ConfigHistory history) {
        Configuration configuration = history.configuration();
        Cutter cutter = new Cutter(history);
        sorted(configuration.services(), Service::id).forEach(cutter::add);
        sorted(configuration.targets(), Target::id).forEach(cutter::add);
        sorted(configuration.routes(), Route::id).forEach(cutter::add);
        sorted(configuration.members(), Member::id).forEach(cutter::add);
        return cutter.finish();
    }

    /**
     * Puts the chunks of one snapshot together, in their order.
     *
     * @return {@link SnapshotAssembler.Restored}, or why the chunks are no snapshot
     */
    public static SnapshotAssembler.Result decode(List<SnapshotChunk> chunks) {
        SnapshotAssembler assembler = new SnapshotAssembler();
        SnapshotAssembler.Result result = new SnapshotAssembler.Incomplete(0);
        for (SnapshotChunk chunk : chunks) {
            result = assembler.add(chunk);
            if (result instanceof SnapshotAssembler.Rejected) {
                return result;
            }
        }
        return result;
    }

    /** Returns the JSON text of one chunk. */
    public static String toJson(SnapshotChunk chunk) {
        try {
            return PatchCodec.mapper().writeValueAsString(chunk);
        } catch (JsonProcessingException e) {
            throw new IllegalStateException("a chunk can always be written", e);
        }
    }

    /**
     * Reads one chunk.
     *
     * @throws IllegalArgumentException with one line that names the fault, if the text is no chunk
     */
    public static SnapshotChunk fromJson(String json) {
        try {
            return PatchCodec.mapper().readValue(json, SnapshotChunk.class);
        } catch (JsonProcessingException e) {
            throw new IllegalArgumentException(
                    "malformed snapshot chunk: " + PatchCodec.malformed(e).detail(), e);
        }
    }

    private static <T> List<T> sorted(Collection<T> entities, Function<T, String> id) {
        return entities.stream().sorted(Comparator.comparing(id)).toList();
    }

    /** Fills one chunk after the other; used once, by one thread. */
    private static final class Cutter {
        private final List<SnapshotChunk> mChunks = new ArrayList<>();
        private final List<Service> mServices = new ArrayList<>();
        private final List<Target> mTargets = new ArrayList<>();
        private final List<Route> mRoutes = new ArrayList<>();
        private final List<Member> mMembers = new ArrayList<>();
        private final ConfigHistory mHistory;
        private int mBytes;

        Cutter(ConfigHistory history) {
            mHistory = history;
        }

        void add(Service service) {
            makeRoom(service);
            mServices.add(service);
        }

        void add(Target target) {
            makeRoom(target);
            mTargets.add(target);
        }

        void add(Route route) {
            makeRoom(route);
            mRoutes.add(route);
        }

        void add(Member member) {
            makeRoom(member);
            mMembers.add(member);
        }

        List<SnapshotChunk> finish() {
            if (mBytes > 0 || mChunks.isEmpty()) {
                cut();
            }
            List<SnapshotChunk> numbered = new ArrayList<>(mChunks.size());
            for (SnapshotChunk chunk : mChunks) {
                numbered.add(chunk.at(numbered.size(), mChunks.size()));
            }
            return List.copyOf(numbered);
        }

        private void makeRoom(Object entity) {
            int bytes = EntityDigest.bytes(entity).length + 1;
            if (mBytes > 0 && mBytes + bytes > ENTITY_BYTES) {
                cut();
            }
            mBytes += bytes;
        }

        private void cut() {
            mChunks.add(
                    new SnapshotChunk(
                            mHistory.mark(),
                            mHistory.digest(),
                            0,
                            1,
                            mServices,
                            mTargets,
                            mRoutes,
                            mMembers,
                            mChunks.isEmpty() ? mHistory.configuration().siteSettings() : null));
            mServices.clear();
            mTargets.clear();
            mRoutes.clear();
            mMembers.clear();
            mBytes = 0;
        }
    }
}

package org.apricotgauge.decision.gossip;

import java.util.List;
import org.apricotgauge.model.Checks;
import org.apricotgauge.model.Vm;

/**
 * A message between two nodes.
 *
 * <p>A later release may add fields: a receiver ignores those it doesn't know.
 */
public sealed interface PeerMessage {

    /** Why a connection was dialled. */
    enum Purpose {
        /** To exchange gossip. */
        NEIGHBOUR,
        /** To see, on behalf of another node, whether this one can be reached. */
        PROBE
    }

    /** First message of the dialling side; the range of protocol versions it speaks. */
    record Hello(
            int minProtocol,
            int maxProtocol,
            String site,
            Purpose purpose,
            Vm vm,
            long incarnation,
            StateSummary summary)
            implements PeerMessage {

        /** Checks the parts. */
        public Hello {
            Checks.notNull("site", site);
            Checks.notNull("purpose", purpose);
            Checks.notNull("vm", vm);
            Checks.notNull("summary", summary);
        }
    }

    /** First message of the accepting side; with {@code accepted} false it closes next. */
    record Welcome(
            int protocol,
            boolean accepted,
            Vm vm,
            long incarnation,
            StateSummary summary,
            List<Vm> sample)
            implements PeerMessage {

        /** Checks the parts. */
        public Welcome {
            Checks.notNull("vm", vm);
            Checks.notNull("summary", summary);
            sample = copy(sample);
        }
    }

    /** Heartbeat; answered by {@link Ack} with the same sequence. */
    record Ping(long sequence, StateSummary summary) implements PeerMessage {

        /** Checks the parts. */
        public Ping {
            Checks.notNull("summary", summary);
        }
    }

    /** Answer to a heartbeat. */
    record Ack(long sequence, StateSummary summary) implements PeerMessage {

        /** Checks the parts. */
        public Ack {
            Checks.notNull("summary", summary);
        }
    }

    /** Tells at once that something new is here, too large to push. */
    record Have(StateSummary summary) implements PeerMessage {

        /** Checks the parts. */
        public Have {
            Checks.notNull("summary", summary);
        }
    }

    /** Records of the log, in order. */
    record Entries(List<DigestedRecord> records) implements PeerMessage {

        /** Copies the list. */
        public Entries {
            records = copy(records);
        }
    }

    /** Asks for the records after a position; the digest lets the other side check the history. */
    record EntriesRequest(long afterPosition, String digest) implements PeerMessage {

        /** Checks the parts. */
        public EntriesRequest {
            Checks.inRange("afterPosition", afterPosition, 0, Long.MAX_VALUE);
            Checks.notNull("digest", digest);
        }
    }

    /** Asks for one chunk of the snapshot at a position. */
    record SnapshotRequest(long position, int chunk) implements PeerMessage {}

    /** One chunk of a snapshot. */
    record SnapshotChunk(long position, String digest, int chunk, int chunks, byte[] bytes)
            implements PeerMessage {

        /** Checks the parts. */
        public SnapshotChunk {
            Checks.notNull("digest", digest);
            Checks.notNull("bytes", bytes);
            Checks.inRange("chunk", chunk, 0, chunks - 1L);
        }
    }

    /** Asks for changes of the list of VMs after a revision. */
    record VmsRequest(long sinceRevision) implements PeerMessage {}

    /** Changes of the list of VMs between two revisions. */
    record VmChanges(long sinceRevision, long revision, List<VmLine> lines) implements PeerMessage {

        /** Copies the list. */
        public VmChanges {
            lines = copy(lines);
        }
    }

    /** Gossip items; {@code whole} if they end the answer to an {@link ItemsRequest}. */
    record Items(List<GossipItem> items, boolean whole) implements PeerMessage {

        /** Copies the list. */
        public Items {
            items = copy(items);
        }
    }

    /** Asks for all gossip items. */
    record ItemsRequest() implements PeerMessage {}

    /** Asks the receiver to try to reach a VM. */
    record ProbeRequest(long nonce, Vm vm) implements PeerMessage {

        /** Checks the parts. */
        public ProbeRequest {
            Checks.notNull("vm", vm);
        }
    }

    /** What came of a {@link ProbeRequest}. */
    record ProbeResult(long nonce, boolean reachable) implements PeerMessage {}

    private static <T> List<T> copy(List<T> list) {
        return list == null ? List.of() : List.copyOf(list);
    }

    /**
     * A reading of the sender's hybrid logical clock, ahead of news, so that what the receiver does
     * on the news has a greater one.
     */
    record ClockReading(long millis, int logical) implements PeerMessage {
        private static final int MAX_LOGICAL = 999_999_999;

        /** Checks the parts. */
        public ClockReading {
            Checks.inRange("clock.millis", millis, 0, Long.MAX_VALUE);
            Checks.inRange("clock.logical", logical, 0, MAX_LOGICAL);
        }
    }

    /** Returns whether the receiver may act on this message in a way that operators see. */
    default boolean isNews() {
        return this instanceof Entries
                || this instanceof SnapshotChunk
                || this instanceof VmChanges
                || this instanceof Items
                || this instanceof ProbeResult;
    }
}

package org.apricotgauge.decision.gossip;

import java.util.List;
import org.apricotgauge.model.Checks;
import org.apricotgauge.model.Vm;

/**
 * A message of the gossip protocol between two nodes.
 *
 * <p>A later release may add fields; a receiver ignores fields it doesn't recognize.
 */
public sealed interface PeerMessage {

    /** The purpose of a dialled connection. */
    enum Purpose {
        /** To exchange gossip. */
        NEIGHBOUR,
        /** To check, on behalf of another node, whether the receiver is reachable. */
        PROBE
    }

    /** First message of the dialling side, with the range of protocol versions it supports. */
    record Hello(
            int minProtocol,
            int maxProtocol,
            String site,
            Purpose purpose,
            Vm vm,
            long incarnation,
            StateSummary summary)
            implements PeerMessage {

        /** Validates the components. */
        public Hello {
            Checks.notNull("site", site);
            Checks.notNull("purpose", purpose);
            Checks.notNull("vm", vm);
            Checks.notNull("summary", summary);
        }
    }

    /**
     * First message of the accepting side; if {@code accepted} is false, the dialling side closes
     * the link.
     */
    record Welcome(
            int protocol,
            boolean accepted,
            Vm vm,
            long incarnation,
            StateSummary summary,
            List<Vm> sample)
            implements PeerMessage {

        /** Validates the components. */
        public Welcome {
            Checks.notNull("vm", vm);
            Checks.notNull("summary", summary);
            sample = copy(sample);
        }
    }

    /** Heartbeat; the receiver responds with an {@link Ack} of the same sequence. */
    record Ping(long sequence, StateSummary summary) implements PeerMessage {

        /** Validates the components. */
        public Ping {
            Checks.notNull("summary", summary);
        }
    }

    /** Response to a heartbeat. */
    record Ack(long sequence, StateSummary summary) implements PeerMessage {

        /** Validates the components. */
        public Ack {
            Checks.notNull("summary", summary);
        }
    }

    /** Announces new state without delay when it is too large to push. */
    record Have(StateSummary summary) implements PeerMessage {

        /** Validates the components. */
        public Have {
            Checks.notNull("summary", summary);
        }
    }

    /** Consecutive records of the log. */
    record Entries(List<DigestedRecord> records) implements PeerMessage {

        /** Copies the list; null becomes an empty list. */
        public Entries {
            records = copy(records);
        }
    }

    /**
     * Requests the records after a position; the digest lets the receiver detect a conflicting
     * history.
     */
    record EntriesRequest(long afterPosition, String digest) implements PeerMessage {

        /** Validates the components. */
        public EntriesRequest {
            Checks.inRange("afterPosition", afterPosition, 0, Long.MAX_VALUE);
            Checks.notNull("digest", digest);
        }
    }

    /** Requests one chunk of the snapshot at a position. */
    record SnapshotRequest(long position, int chunk) implements PeerMessage {}

    /** One chunk of a snapshot. */
    record SnapshotChunk(long position, String digest, int chunk, int chunks, byte[] bytes)
            implements PeerMessage {

        /** Validates the components. */
        public SnapshotChunk {
            Checks.notNull("digest", digest);
            Checks.notNull("bytes", bytes);
            Checks.inRange("chunk", chunk, 0, chunks - 1L);
        }
    }

    /** Requests the changes of the VM list after a revision. */
    record VmsRequest(long sinceRevision) implements PeerMessage {}

    /** Changes of the VM list between two revisions. */
    record VmChanges(long sinceRevision, long revision, List<VmLine> lines) implements PeerMessage {

        /** Copies the list; null becomes an empty list. */
        public VmChanges {
            lines = copy(lines);
        }
    }

    /** Gossip items; {@code whole} marks the last message of a response to {@link ItemsRequest}. */
    record Items(List<GossipItem> items, boolean whole) implements PeerMessage {

        /** Copies the list; null becomes an empty list. */
        public Items {
            items = copy(items);
        }
    }

    /** Requests all gossip items. */
    record ItemsRequest() implements PeerMessage {}

    /** Requests that the receiver probe a VM. */
    record ProbeRequest(long nonce, Vm vm) implements PeerMessage {

        /** Validates the components. */
        public ProbeRequest {
            Checks.notNull("vm", vm);
        }
    }

    /** Result of a {@link ProbeRequest}. */
    record ProbeResult(long nonce, boolean reachable) implements PeerMessage {}

    private static <T> List<T> copy(List<T> list) {
        return list == null ? List.of() : List.copyOf(list);
    }

    /**
     * A reading of the sender's hybrid logical clock, sent ahead of an update so that events the
     * receiver records in response to the update have a later timestamp.
     */
    record ClockReading(long millis, int logical) implements PeerMessage {
        private static final int MAX_LOGICAL = 999_999_999;

        /** Validates the components. */
        public ClockReading {
            Checks.inRange("clock.millis", millis, 0, Long.MAX_VALUE);
            Checks.inRange("clock.logical", logical, 0, MAX_LOGICAL);
        }
    }

    /**
     * Returns whether the receiver may act on this message in a way that is visible to operators.
     *
     * <p>The value is serialized with the message as the field {@code news}.
     */
    default boolean isNews() {
        return this instanceof Entries
                || this instanceof SnapshotChunk
                || this instanceof VmChanges
                || this instanceof Items
                || this instanceof ProbeResult;
    }
}

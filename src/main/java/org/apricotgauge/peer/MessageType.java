package org.apricotgauge.peer;

import java.util.Arrays;
import java.util.HashMap;
import java.util.Map;
import org.apricotgauge.decision.gossip.PeerMessage;

/** The number of each kind of message on the wire; numbers are never reused. */
enum MessageType {
    HELLO(1, PeerMessage.Hello.class),
    WELCOME(2, PeerMessage.Welcome.class),
    PING(3, PeerMessage.Ping.class),
    ACK(4, PeerMessage.Ack.class),
    HAVE(5, PeerMessage.Have.class),
    ENTRIES(6, PeerMessage.Entries.class),
    ENTRIES_REQUEST(7, PeerMessage.EntriesRequest.class),
    SNAPSHOT_REQUEST(8, PeerMessage.SnapshotRequest.class),
    SNAPSHOT_CHUNK(9, PeerMessage.SnapshotChunk.class),
    VMS_REQUEST(10, PeerMessage.VmsRequest.class),
    VM_CHANGES(11, PeerMessage.VmChanges.class),
    ITEMS(12, PeerMessage.Items.class),
    ITEMS_REQUEST(13, PeerMessage.ItemsRequest.class),
    PROBE_REQUEST(14, PeerMessage.ProbeRequest.class),
    PROBE_RESULT(15, PeerMessage.ProbeResult.class),
    CLOCK_READING(16, PeerMessage.ClockReading.class);

    private static final Map<Class<?>, MessageType> BY_CLASS = new HashMap<>();

    static {
        Arrays.stream(values()).forEach(type -> BY_CLASS.put(type.mRecord, type));
    }

    private final byte mNumber;
    private final Class<? extends PeerMessage> mRecord;

    MessageType(int number, Class<? extends PeerMessage> type) {
        mNumber = (byte) number;
        mRecord = type;
    }

    byte number() {
        return mNumber;
    }

    Class<? extends PeerMessage> record() {
        return mRecord;
    }

    static MessageType of(PeerMessage message) {
        return BY_CLASS.get(message.getClass());
    }

    /** Returns the type, or null if only a later release knows it. */
    static MessageType of(byte number) {
        return number >= 1 && number <= values().length ? values()[number - 1] : null;
    }
}

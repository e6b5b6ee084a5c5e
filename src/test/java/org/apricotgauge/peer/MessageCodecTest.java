package org.apricotgauge.peer;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatIllegalArgumentException;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.util.List;
import java.util.Map;
import org.apricotgauge.decision.gossip.DigestedRecord;
import org.apricotgauge.decision.gossip.PeerMessage;
import org.apricotgauge.decision.gossip.StateSummary;
import org.apricotgauge.platform.LogRecord;
import org.junit.jupiter.api.Test;
import org.msgpack.jackson.dataformat.MessagePackFactory;

class MessageCodecTest {
    private static final int TYPE_OFFSET = MessageCodec.LENGTH_BYTES;

    private static PeerMessage decode(byte[] frame) throws IOException {
        return MessageCodec.decode(frame, TYPE_OFFSET, frame.length - TYPE_OFFSET);
    }

    @Test
    void roundTripsMessages() throws IOException {
        PeerMessage ping = new PeerMessage.Ping(7, new StateSummary(1, "d", 2, -3));
        assertThat(decode(MessageCodec.encode(ping))).isEqualTo(ping);
        PeerMessage entries =
                new PeerMessage.Entries(
                        List.of(new DigestedRecord(new LogRecord(1, "body"), "digest")));
        assertThat(decode(MessageCodec.encode(entries))).isEqualTo(entries);
    }

    @Test
    void ignoresFieldsAndTypesOfLaterRelease() throws IOException {
        // During a rolling upgrade, half the fleet runs a later release, whose messages have more
        // fields.
        byte[] body =
                new ObjectMapper(new MessagePackFactory())
                        .writeValueAsBytes(Map.of("sinceRevision", 4, "later", List.of(1, 2)));
        byte[] frame = new byte[body.length + 1];
        frame[0] = MessageType.VMS_REQUEST.number();
        System.arraycopy(body, 0, frame, 1, body.length);
        assertThat(MessageCodec.decode(frame, 0, frame.length))
                .isEqualTo(new PeerMessage.VmsRequest(4));
        frame[0] = 99;
        assertThat(MessageCodec.decode(frame, 0, frame.length)).isNull();
    }

    @Test
    void rejectsMalformedAndOversizedFrames() {
        byte[] frame = {MessageType.PING.number(), 1, 2, 3};
        assertThatThrownBy(() -> MessageCodec.decode(frame, 0, frame.length))
                .isInstanceOf(IOException.class);
        byte[] tooLong = new byte[MessageCodec.MAX_FRAME_BYTES];
        assertThatIllegalArgumentException()
                .isThrownBy(
                        () ->
                                MessageCodec.encode(
                                        new PeerMessage.SnapshotChunk(1, "d", 0, 1, tooLong)));
    }
}

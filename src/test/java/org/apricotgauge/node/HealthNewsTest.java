package org.apricotgauge.node;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.io.IOException;
import org.junit.jupiter.api.Test;
import org.msgpack.core.MessageBufferPacker;
import org.msgpack.core.MessagePack;

/** Datagrams on targets' health: what is written can be read, also by other releases. */
class HealthNewsTest {
    private static final HealthNews.Line LINE = new HealthNews.Line("i-1_0", "60,300,3000", 500);

    @Test
    void aLineIsReadAsItWasWritten() throws IOException {
        byte[] bytes = HealthNews.encode(LINE);

        assertThat(HealthNews.decode(bytes, bytes.length)).isEqualTo(LINE);
    }

    @Test
    void fieldsOfALaterReleaseArePassedOver() throws IOException {
        MessageBufferPacker packer = MessagePack.newDefaultBufferPacker();
        packer.packMapHeader(4);
        packer.packString("later").packArrayHeader(1).packInt(7);
        packer.packString("load").packInt(LINE.load());
        packer.packString("target").packString(LINE.target());
        packer.packString("health").packString(LINE.health());
        byte[] bytes = packer.toByteArray();

        assertThat(HealthNews.decode(bytes, bytes.length)).isEqualTo(LINE);
    }

    @Test
    void aDatagramThatIsNoLineIsRefused() {
        assertThatThrownBy(() -> HealthNews.decode(new byte[] {(byte) 0xc1}, 1))
                .isInstanceOf(IOException.class);
    }
}

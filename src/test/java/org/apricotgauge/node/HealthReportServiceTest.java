package org.apricotgauge.node;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.io.IOException;
import org.junit.jupiter.api.Test;
import org.msgpack.core.MessageBufferPacker;
import org.msgpack.core.MessagePack;

/** Tests that health reports can be decoded, also those of other releases. */
class HealthReportServiceTest {
    private static final HealthReportService.HealthReport REPORT =
            new HealthReportService.HealthReport("i-1_0", "60,300,3000", 500);

    @Test
    void roundTripsReport() throws IOException {
        byte[] bytes = HealthReportService.encode(REPORT);

        assertThat(HealthReportService.decode(bytes, bytes.length)).isEqualTo(REPORT);
    }

    @Test
    void ignoresUnknownFields() throws IOException {
        MessageBufferPacker packer = MessagePack.newDefaultBufferPacker();
        packer.packMapHeader(4);
        packer.packString("later").packArrayHeader(1).packInt(7);
        packer.packString("load").packInt(REPORT.loadPermille());
        packer.packString("target").packString(REPORT.target());
        packer.packString("health").packString(REPORT.health());
        byte[] bytes = packer.toByteArray();

        assertThat(HealthReportService.decode(bytes, bytes.length)).isEqualTo(REPORT);
    }

    @Test
    void rejectsMalformedDatagram() {
        assertThatThrownBy(() -> HealthReportService.decode(new byte[] {(byte) 0xc1}, 1))
                .isInstanceOf(IOException.class);
    }
}

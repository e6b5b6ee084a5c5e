package org.apricotgauge.node;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.io.IOException;
import java.util.List;
import org.apricotgauge.decision.quarantine.CrashMessage;
import org.apricotgauge.decision.ratelimit.TokenGrant;
import org.apricotgauge.decision.ratelimit.TokenMessage;
import org.junit.jupiter.api.Test;

/** Messages about tokens as datagrams. */
class AllotmentCodecTest {
    @Test
    void messagesAreReadAsTheyWereWritten() throws IOException {
        for (TokenMessage message :
                List.of(
                        new TokenMessage.Request(7, "stable", 3, true),
                        new TokenMessage.Response(Long.MAX_VALUE, new TokenGrant(2, 1_500)))) {
            byte[] bytes = AllotmentCodec.encode(message);

            assertThat(AllotmentCodec.isMessage(bytes, bytes.length)).isTrue();
            assertThat(AllotmentCodec.decode(bytes, bytes.length)).isEqualTo(message);
        }
    }

    @Test
    void crashNewsAreToldApart() {
        byte[] bytes = CrashNews.encode(new CrashMessage(CrashMessage.Kind.ASK, 1, List.of()));

        assertThat(AllotmentCodec.isMessage(bytes, bytes.length)).isFalse();
        assertThat(AllotmentCodec.isMessage(new byte[1], 0)).isFalse();
    }

    @Test
    void garbageIsRefused() {
        byte[] bytes = AllotmentCodec.encode(new TokenMessage.Request(7, "stable", 3, true));

        assertThatThrownBy(() -> AllotmentCodec.decode(bytes, bytes.length - 2))
                .isInstanceOf(IOException.class);
    }
}

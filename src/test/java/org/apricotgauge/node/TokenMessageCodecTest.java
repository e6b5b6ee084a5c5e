package org.apricotgauge.node;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.io.IOException;
import java.util.List;
import org.apricotgauge.decision.quarantine.CrashMessage;
import org.apricotgauge.decision.ratelimit.TokenGrant;
import org.apricotgauge.decision.ratelimit.TokenMessage;
import org.junit.jupiter.api.Test;

/** Tests rate limit messages as datagrams. */
class TokenMessageCodecTest {
    @Test
    void roundTripsMessages() throws IOException {
        for (TokenMessage message :
                List.of(
                        new TokenMessage.Request(7, "stable", 3, true),
                        new TokenMessage.Response(Long.MAX_VALUE, new TokenGrant(2, 1_500)))) {
            byte[] bytes = TokenMessageCodec.encode(message);

            assertThat(TokenMessageCodec.isTokenMessage(bytes, bytes.length)).isTrue();
            assertThat(TokenMessageCodec.decode(bytes, bytes.length)).isEqualTo(message);
        }
    }

    @Test
    void distinguishesCrashMessages() {
        byte[] bytes =
                CrashMessageTransport.encode(new CrashMessage(CrashMessage.Kind.ASK, 1, List.of()));

        assertThat(TokenMessageCodec.isTokenMessage(bytes, bytes.length)).isFalse();
        assertThat(TokenMessageCodec.isTokenMessage(new byte[1], 0)).isFalse();
    }

    @Test
    void rejectsMalformedMessage() {
        byte[] bytes = TokenMessageCodec.encode(new TokenMessage.Request(7, "stable", 3, true));

        assertThatThrownBy(() -> TokenMessageCodec.decode(bytes, bytes.length - 2))
                .isInstanceOf(IOException.class);
    }
}

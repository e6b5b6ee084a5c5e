package org.apricotgauge.node;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.io.IOException;
import java.util.HexFormat;
import java.util.List;
import java.util.Map;
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

    // Guards against a fleet of two releases in which nodes do not understand each other's
    // messages.
    @Test
    void messagesOfTheReleaseBeforeAreReadAndWrittenUnchanged() throws IOException {
        Map<String, TokenMessage> recorded =
                Map.of(
                        "84a2696407a66d656d626572a6737461626c65a5636f756e7403a566696e616cc2",
                        new TokenMessage.Request(7, "stable", 3, false),
                        "84a26964cf0000010000000000a66d656d626572a6737461626c65a5636f756e7400"
                                + "a566696e616cc3",
                        new TokenMessage.Request(1L << 40, "stable", 0, true),
                        "83a2696407a76772616e74656402aa72657472794166746572cd05dc",
                        new TokenMessage.Response(7, new TokenGrant(2, 1_500)));
        for (Map.Entry<String, TokenMessage> entry : recorded.entrySet()) {
            byte[] bytes = HexFormat.of().parseHex(entry.getKey());

            assertThat(TokenMessageCodec.decode(bytes, bytes.length)).isEqualTo(entry.getValue());
            assertThat(TokenMessageCodec.encode(entry.getValue())).isEqualTo(bytes);
        }
    }

    @Test
    void unknownFieldsAreSkipped() throws IOException {
        byte[] bytes =
                HexFormat.of()
                        .parseHex(
                                "84a2696407a46c61746592a16101a76772616e74656402"
                                        + "aa72657472794166746572cd05dc");

        assertThat(TokenMessageCodec.decode(bytes, bytes.length))
                .isEqualTo(new TokenMessage.Response(7, new TokenGrant(2, 1_500)));
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

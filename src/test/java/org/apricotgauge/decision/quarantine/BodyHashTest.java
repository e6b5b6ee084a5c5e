package org.apricotgauge.decision.quarantine;

import static org.assertj.core.api.Assertions.assertThat;

import java.nio.ByteBuffer;
import java.util.Arrays;
import org.junit.jupiter.api.Test;

class BodyHashTest {
    private static final byte[] LONG = new byte[2 * BodyHash.MAX_HASHED_BYTES];

    @Test
    void anEmptyBodyHasTheValueOfNoBody() {
        BodyHash hash = new BodyHash();
        assertThat(hash.value()).isEqualTo(Fingerprint.UNKNOWN_BODY);

        hash.end();

        assertThat(hash.value()).isEqualTo(Fingerprint.NO_BODY);
    }

    @Test
    void theHashDoesNotDependOnChunks() {
        byte[] body = "ride at noon".getBytes(java.nio.charset.StandardCharsets.US_ASCII);
        BodyHash inPieces = new BodyHash();
        inPieces.update(ByteBuffer.wrap(body, 0, 5));
        inPieces.update(ByteBuffer.wrap(body, 5, body.length - 5));
        inPieces.end();

        assertThat(inPieces.value()).isEqualTo(hashOf(body));
    }

    @Test
    void aLongBodyIsHashedBeforeItsEnd() {
        BodyHash hash = new BodyHash();
        hash.update(ByteBuffer.wrap(LONG, 0, BodyHash.MAX_HASHED_BYTES - 1));
        assertThat(hash.isComplete()).isFalse();

        hash.update(ByteBuffer.wrap(LONG, 0, 10));

        assertThat(hash.isComplete()).isTrue();
        assertThat(hash.value()).isEqualTo(hashOf(LONG));
    }

    @Test
    void differentBytesGiveADifferentHash() {
        byte[] other = Arrays.copyOf(LONG, LONG.length);
        other[100] = 1;

        assertThat(hashOf(other)).isNotEqualTo(hashOf(LONG));
    }

    private static long hashOf(byte[] body) {
        BodyHash hash = new BodyHash();
        ByteBuffer bytes = ByteBuffer.wrap(body);
        hash.update(bytes);
        hash.end();
        assertThat(bytes.position()).isZero();
        return hash.value();
    }
}

package org.apricotgauge.http;

import static java.nio.charset.StandardCharsets.US_ASCII;
import static org.assertj.core.api.Assertions.assertThat;

import java.nio.ByteBuffer;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;
import org.apricotgauge.decision.quarantine.BodyHash;
import org.eclipse.jetty.client.Request;
import org.eclipse.jetty.io.Content;
import org.junit.jupiter.api.Test;

/** Tests when the hash of a body that is being sent is final. */
class HashingBodyTest {

    // Guards against a crash that is counted for no request, since its target ended between the
    // last bytes of the body and the end of the body.
    @Test
    void theHashIsFinalWithTheLastByteOfAKnownLength() {
        BodyHash hash = new BodyHash();
        Request.Content body = new HashingBody(new Parts(6, "let", "hal"), hash);

        body.read();
        assertThat(hash.isComplete()).isFalse();
        body.read();
        assertThat(hash.isComplete()).isTrue();
        assertThat(hash.value()).isEqualTo(hashOf("lethal"));
    }

    @Test
    void theHashOfABodyWithoutALengthIsFinalAtItsEnd() {
        BodyHash hash = new BodyHash();
        Request.Content body = new HashingBody(new Parts(-1, "lethal"), hash);

        body.read();
        assertThat(hash.isComplete()).isFalse();
        assertThat(body.read().isLast()).isTrue();
        assertThat(hash.value()).isEqualTo(hashOf("lethal"));
    }

    private static long hashOf(String text) {
        BodyHash hash = new BodyHash();
        hash.update(ByteBuffer.wrap(text.getBytes(US_ASCII)));
        hash.end();
        return hash.value();
    }

    /** A body in parts, whose end comes by itself. */
    private static final class Parts implements Request.Content {
        private final Deque<String> mParts = new ArrayDeque<>();
        private final long mLength;

        private Parts(long length, String... parts) {
            mLength = length;
            mParts.addAll(List.of(parts));
        }

        @Override
        public long getLength() {
            return mLength;
        }

        @Override
        public Content.Chunk read() {
            String part = mParts.poll();
            return part == null
                    ? Content.Chunk.EOF
                    : Content.Chunk.from(ByteBuffer.wrap(part.getBytes(US_ASCII)), false);
        }

        @Override
        public void demand(Runnable onAvailable) {
            onAvailable.run();
        }

        @Override
        public void fail(Throwable failure) {
            mParts.clear();
        }
    }
}

package org.apricotgauge.http;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatIllegalStateException;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import org.eclipse.jetty.client.Request;
import org.eclipse.jetty.io.Content;
import org.junit.jupiter.api.Test;

class ReplayableBodyTest {

    private static ReplayableBody body(int limitBytes, String... parts) {
        ByteBuffer[] buffers = new ByteBuffer[parts.length];
        for (int i = 0; i < parts.length; i++) {
            buffers[i] = ByteBuffer.wrap(parts[i].getBytes(StandardCharsets.US_ASCII));
        }
        return new ReplayableBody(Content.Source.from(buffers), limitBytes);
    }

    private static String read(Request.Content view, int chunks) {
        StringBuilder text = new StringBuilder();
        for (int i = 0; i < chunks; i++) {
            Content.Chunk chunk = view.read();
            text.append(StandardCharsets.US_ASCII.decode(chunk.getByteBuffer()));
            if (chunk.isLast()) {
                return text.append('.').toString();
            }
        }
        return text.toString();
    }

    @Test
    void smallBodyIsReplayedFromStart() {
        ReplayableBody body = body(100, "ab", "cd", "ef");
        assertThat(read(body.open(), 2)).isEqualTo("abcd");
        assertThat(body.canReplay()).isTrue();
        assertThat(read(body.open(), 10)).isEqualTo("abcdef.");
        assertThat(read(body.open(), 10)).isEqualTo("abcdef.");
    }

    @Test
    void largeBodyIsStreamedOnce() {
        ReplayableBody body = body(3, "ab", "cd", "ef");
        assertThat(read(body.open(), 10)).isEqualTo("abcdef.");
        assertThat(body.canReplay()).isFalse();
        assertThatIllegalStateException().isThrownBy(body::open);
    }

    @Test
    void largeBodyIsReplayedWhileTheNodeHasRoom() {
        ByteBudget budget = new ByteBudget(4);
        ReplayableBody body = large(budget, "ab", "cd", "ef");
        assertThat(read(body.open(), 10)).isEqualTo("abcdef.");
        assertThat(read(body.open(), 10)).isEqualTo("abcdef.");
        assertThat(large(budget, "ab", "cd").open().read().remaining()).isEqualTo(2);

        body.release();

        assertThat(budget.reservedBytes()).isZero();
        assertThat(body.canReplay()).isFalse();
    }

    // Guards against bytes that are left out when a request ends while its body is still sent.
    @Test
    void readerInTheBufferedPartReadsItToItsEndAfterTheRelease() {
        ByteBudget budget = new ByteBudget(4);
        ReplayableBody body = large(budget, "ab", "cd", "ef");
        read(body.open(), 10);
        Request.Content second = body.open();
        assertThat(read(second, 1)).isEqualTo("ab");

        body.release();

        assertThat(read(second, 10)).isEqualTo("cdef.");
        assertThat(budget.reservedBytes()).isZero();
    }

    // Guards against room that is never given back after an attempt that read nothing.
    @Test
    void releaseGivesBackTheRoomOfAReaderThatNeverReads() {
        ByteBudget budget = new ByteBudget(4);
        ReplayableBody body = large(budget, "ab", "cd", "ef");
        read(body.open(), 10);
        body.open();

        body.release();

        assertThat(budget.reservedBytes()).isZero();
    }

    // Guards against a sound guard that counts as dead since its attempt could not be built.
    @Test
    void bodyOfAnEndedRequestOpensAndCannotBeRead() {
        ReplayableBody body = large(new ByteBudget(4), "ab", "cd");
        body.release();

        assertThat(Content.Chunk.isFailure(body.open().read())).isTrue();
    }

    // Guards against large bodies that together exceed the memory of the node.
    @Test
    void largeBodyIsStreamedOnceBeyondTheRoomOfTheNode() {
        ByteBudget budget = new ByteBudget(1);
        ReplayableBody body = large(budget, "ab", "cd");
        assertThat(read(body.open(), 10)).isEqualTo("abcd.");
        assertThat(body.canReplay()).isFalse();
        assertThat(budget.reservedBytes()).isZero();
    }

    private static ReplayableBody large(ByteBudget budget, String... parts) {
        ByteBuffer[] buffers = new ByteBuffer[parts.length];
        for (int i = 0; i < parts.length; i++) {
            buffers[i] = ByteBuffer.wrap(parts[i].getBytes(StandardCharsets.US_ASCII));
        }
        return new ReplayableBody(Content.Source.from(buffers), 2, 100, budget);
    }

    @Test
    void abandonedAttemptCannotReadFurther() {
        // The caller's bytes must reach only the current attempt. The first attempt is abandoned
        // and still reads: it must get an error, and consume nothing of the second attempt.
        ReplayableBody body = body(100, "ab", "cd");
        Request.Content first = body.open();
        assertThat(read(first, 1)).isEqualTo("ab");
        Request.Content second = body.open();
        assertThat(Content.Chunk.isFailure(first.read())).isTrue();
        assertThat(read(second, 10)).isEqualTo("abcd.");
    }

    @Test
    void failedAttemptDoesNotFailNext() {
        ReplayableBody body = body(100, "ab", "cd");
        Request.Content first = body.open();
        first.fail(new IllegalStateException("connection broke"));
        assertThat(Content.Chunk.isFailure(first.read())).isTrue();
        assertThat(read(body.open(), 10)).isEqualTo("abcd.");
    }

    // Guards against an attempt that goes on with the bytes that another one beside it has read.
    @Test
    void attemptsSideBySideReadTheSameBytes() {
        ReplayableBody body = body(100, "ab", "cd", "ef");
        Request.Content first = body.open();
        assertThat(read(first, 1)).isEqualTo("ab");
        Request.Content second = body.openBeside();
        assertThat(read(second, 2)).isEqualTo("abcd");

        assertThat(read(first, 10)).isEqualTo("cdef.");
        assertThat(read(second, 10)).isEqualTo("ef.");
    }

    // Guards against an attempt whose body has a gap, after another one read what isn't buffered.
    @Test
    void oneReaderGoesOnOnceTheBodyIsTooLargeForTheBuffer() {
        ReplayableBody body = body(4, "ab", "cd", "ef");
        Request.Content first = body.open();
        assertThat(read(first, 2)).isEqualTo("abcd");
        Request.Content second = body.openBeside();
        assertThat(read(first, 10)).isEqualTo("ef.");

        assertThat(Content.Chunk.isFailure(second.read())).isTrue();
    }

    // Guards against an abandoned attempt that takes bytes from the one that goes on.
    @Test
    void abandonedAttemptLeavesTheRestToTheOther() {
        ReplayableBody body = body(4, "ab", "cd", "ef");
        Request.Content first = body.open();
        Request.Content second = body.openBeside();
        assertThat(read(first, 2)).isEqualTo("abcd");

        first.fail(new IOException("abandoned"));

        assertThat(read(second, 10)).isEqualTo("abcdef.");
        assertThat(Content.Chunk.isFailure(first.read())).isTrue();
    }

    // Guards against an exception on a path where only an outcome is expected.
    @Test
    void bodyThatCannotBeSentAgainOpensBesideAndCannotBeRead() {
        ReplayableBody body = body(3, "ab", "cd", "ef");
        assertThat(read(body.open(), 2)).isEqualTo("abcd");

        assertThat(Content.Chunk.isFailure(body.openBeside().read())).isTrue();
    }
}

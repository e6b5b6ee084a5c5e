package org.apricotgauge.http.client;

import static java.nio.charset.StandardCharsets.ISO_8859_1;
import static org.apricotgauge.http.client.ScriptedUpstream.get;
import static org.apricotgauge.http.client.ScriptedUpstream.reset;
import static org.apricotgauge.http.client.ScriptedUpstream.write;
import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.io.IOException;
import java.io.InputStream;
import java.net.Socket;
import java.nio.ByteBuffer;
import java.util.concurrent.CompletableFuture;
import org.apricotgauge.http.Bodies;
import org.eclipse.jetty.client.AsyncRequestContent;
import org.eclipse.jetty.io.Content;
import org.eclipse.jetty.util.Callback;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.RepeatedTest;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Responses without a length, which end with their connection, to requests with a body. */
class ResponseReaderTest {
    private static final String HEAD = "HTTP/1.1 200 OK\r\n\r\n";
    private static final int MAX_BYTES = 1_000;
    private static final int SMALL_BYTES = 100;

    /** More than the buffers of both ends of a connection hold. */
    private static final int LARGE_BYTES = 64 << 20;

    private ScriptedUpstream mUpstream;

    @BeforeEach
    void start() throws Exception {
        mUpstream = new ScriptedUpstream();
    }

    @AfterEach
    void stop() {
        mUpstream.close();
    }

    /** A body of a known length whose first part is sent alone. */
    private static class Upload extends AsyncRequestContent {
        private final int mBytes;

        Upload(int bytes) {
            mBytes = bytes;
        }

        @Override
        public long getLength() {
            return mBytes;
        }

        void send(int bytes, boolean last) {
            write(last, ByteBuffer.allocate(bytes), Callback.NOOP);
        }
    }

    private static String readAll(Content.Source body) throws Exception {
        return new String(get(Bodies.readAll(body, MAX_BYTES)), ISO_8859_1);
    }

    // Guards against a truncated response that looks complete: an upstream that closes while its
    // request is on its way resets the connection, and the reset may come after the end.
    @Test
    void responseThatEndsBeforeItsRequestIsNotComplete() throws Exception {
        Upload upload = new Upload(SMALL_BYTES);
        upload.send(SMALL_BYTES / 2, false);
        ScriptedUpstream.Recorder recorder = mUpstream.post(upload);
        try (Socket connection = mUpstream.accept()) {
            write(connection, HEAD + "part");
            connection.shutdownOutput();

            assertThatThrownBy(() -> readAll(recorder.body()))
                    .hasRootCauseInstanceOf(IOException.class);
        }
    }

    /** An upload that reads its response at the moment when it can't be written. */
    private static final class FailingUpload extends Upload {
        private final CompletableFuture<Content.Source> mResponse = new CompletableFuture<>();
        private final CompletableFuture<Content.Chunk> mLastChunk = new CompletableFuture<>();

        FailingUpload(int bytes) {
            super(bytes);
        }

        @Override
        public void fail(Throwable failure) {
            Content.Chunk chunk = mResponse.join().read();
            while (chunk != null && !chunk.isLast()) {
                chunk = mResponse.join().read();
            }
            mLastChunk.complete(chunk);
            super.fail(failure);
        }
    }

    // Guards against a reset that only the writing of the request meets: the system reports it
    // once, and what is read afterwards looks like an orderly end.
    @ParameterizedTest
    @ValueSource(booleans = {false, true})
    void responseWhoseRequestFailsIsNotComplete(boolean inLastPart) throws Exception {
        FailingUpload upload = new FailingUpload(SMALL_BYTES);
        upload.send(1, false);
        ScriptedUpstream.Recorder recorder = mUpstream.post(upload);
        try (Socket connection = mUpstream.accept()) {
            write(connection, HEAD + "part");
            upload.mResponse.complete(recorder.body());
            reset(connection);
        }
        upload.send(SMALL_BYTES - 1, inLastPart);

        Content.Chunk last = get(upload.mLastChunk);
        assertThat(last == null || Content.Chunk.isFailure(last)).as("%s", last).isTrue();
        assertThatThrownBy(() -> readAll(recorder.body())).isNotNull();
    }

    // Guards against complete responses that are taken for truncated: an upstream may stop
    // sending first, and read on to the end of the request.
    @Test
    void responseIsCompleteOnceItsRequestIsWritten() throws Exception {
        Upload upload = new Upload(LARGE_BYTES);
        upload.send(LARGE_BYTES, true);
        ScriptedUpstream.Recorder recorder = mUpstream.post(upload);
        try (Socket connection = mUpstream.accept()) {
            InputStream in = connection.getInputStream();
            write(connection, HEAD + "whole");
            connection.shutdownOutput();
            CompletableFuture<byte[]> response = Bodies.readAll(recorder.body(), MAX_BYTES);

            assertThat(response).isNotDone();
            in.skipNBytes(LARGE_BYTES);
            assertThat(new String(get(response), ISO_8859_1)).isEqualTo("whole");
        }
    }

    // Guards against a response that stays open for good, or looks complete, once the last part of
    // its request can't be written.
    @Test
    void responseWhoseLastPartIsNotReadIsNotComplete() throws Exception {
        Upload upload = new Upload(LARGE_BYTES);
        upload.send(LARGE_BYTES, true);
        ScriptedUpstream.Recorder recorder = mUpstream.post(upload);
        CompletableFuture<byte[]> response;
        try (Socket connection = mUpstream.accept()) {
            write(connection, HEAD + "part");
            connection.shutdownOutput();
            response = Bodies.readAll(recorder.body(), MAX_BYTES);
        }
        assertThatThrownBy(() -> get(response)).hasRootCauseInstanceOf(IOException.class);
    }

    // Guards against complete responses that are taken for truncated, because the upstream has
    // the whole request before its end is read here.
    @RepeatedTest(20)
    void responseIsCompleteThoughTheEndOfTheRequestIsReadLate() throws Exception {
        Upload upload = new Upload(SMALL_BYTES);
        upload.send(SMALL_BYTES, false);
        ScriptedUpstream.Recorder recorder = mUpstream.post(upload);
        try (Socket connection = mUpstream.accept()) {
            connection.getInputStream().skipNBytes(SMALL_BYTES);
            write(connection, HEAD + "whole");
        }
        CompletableFuture<byte[]> response = Bodies.readAll(recorder.body(), MAX_BYTES);
        upload.close();

        assertThat(new String(get(response), ISO_8859_1)).isEqualTo("whole");
    }

    // Guards against early refusals that are taken for truncated.
    @ParameterizedTest
    @ValueSource(
            strings = {
                "HTTP/1.1 413 Too Large\r\nContent-Length: 5\r\n\r\nlarge",
                "HTTP/1.1 413 Too Large\r\nTransfer-Encoding: chunked\r\n\r\n"
                        + "5\r\nlarge\r\n0\r\n\r\n",
            })
    void refusalOfKnownLengthIsCompleteBeforeItsRequest(String refusal) throws Exception {
        Upload upload = new Upload(SMALL_BYTES);
        upload.send(SMALL_BYTES / 2, false);
        ScriptedUpstream.Recorder recorder = mUpstream.post(upload);
        try (Socket connection = mUpstream.accept()) {
            write(connection, refusal);

            assertThat(readAll(recorder.body())).isEqualTo("large");
        }
    }
}

package org.apricotgauge.functional;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import org.junit.jupiter.api.Test;

/** Answers without a length, whose end is the end of their connection. */
class ResetAnswerTest {

    @Test
    void halfAnAnswerBeforeAResetNeverLooksWhole() throws Exception {
        // The target answers without a length and crashes in the midst: its system resets the
        // connection. The caller has the head and half the body; told that this was all, it would
        // take half an answer for a whole one.
        assertThat(answer(true)).contains("half").doesNotContain("\r\n0\r\n");
    }

    @Test
    void anAnswerThatEndsInOrderIsWhole() throws Exception {
        assertThat(answer(false)).contains("half").contains("\r\n0\r\n");
    }

    private static String answer(boolean reset) throws Exception {
        CountDownLatch headIsThere = new CountDownLatch(1);
        try (ServerSocket target = new ServerSocket(0, 8, InetAddress.getLoopbackAddress());
                Hops hops = new Hops("a", "b").target("t", "b", target.getLocalPort(), 1);
                RawCaller caller = new RawCaller(hops.vm("a").callerPort())) {
            CompletableFuture<Void> served =
                    CompletableFuture.runAsync(() -> serve(target, headIsThere, reset));
            caller.send("GET /x HTTP/1.1\r\nHost: site\r\n\r\n");
            caller.readHead();
            String chunk = caller.read("4\r\nhalf".length());
            headIsThere.countDown();
            served.get();
            return chunk + (reset ? caller.readAll() : caller.read("\r\n0\r\n\r\n".length()));
        }
    }

    private static void serve(ServerSocket target, CountDownLatch headIsThere, boolean reset) {
        try (Socket socket = target.accept()) {
            RawTarget.readHead(socket.getInputStream());
            socket.getOutputStream()
                    .write("HTTP/1.1 200 OK\r\n\r\nhalf".getBytes(StandardCharsets.US_ASCII));
            headIsThere.await();
            if (reset) {
                socket.setSoLinger(true, 0);
            }
        } catch (IOException | InterruptedException e) {
            throw new IllegalStateException(e);
        }
    }
}

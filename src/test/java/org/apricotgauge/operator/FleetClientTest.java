package org.apricotgauge.operator;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.io.UncheckedIOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.stream.Stream;
import org.apricotgauge.model.Address;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;

class FleetClientTest {
    private static final long TIMEOUT_MILLIS = 10_000;
    private static final String STATUS =
            ("{'vm':'a','failureDomain':'d','release':'1','incarnation':1,'phase':'SERVING',"
                            + "'version':1,'digest':'','listPosition':1,"
                            + "'services':[],'windows':[]}")
                    .replace('\'', '"');
    private static final String FRAMED = "Content-Length: " + STATUS.length() + "\r\n\r\n" + STATUS;
    private static final String PART = STATUS.substring(0, STATUS.length() - 1);

    /** Writes an answer to a connection, which is closed afterwards. */
    @FunctionalInterface
    private interface Script {
        void answer(Socket connection) throws IOException;
    }

    private static NodeAnswer<NodeStatus> statusOf(Script script) throws Exception {
        try (ServerSocket node = new ServerSocket(0, 1, InetAddress.getLoopbackAddress());
                FleetClient client = FleetClient.start(TIMEOUT_MILLIS)) {
            CompletableFuture<Void> served = CompletableFuture.runAsync(() -> serve(node, script));
            Address address = new Address("127.0.0.1", node.getLocalPort());
            NodeAnswer<NodeStatus> answer =
                    client.statuses(List.of(address), Optional.empty()).get(0);
            served.join();
            return answer;
        }
    }

    private static void serve(ServerSocket node, Script script) {
        try (Socket connection = node.accept()) {
            BufferedReader request =
                    new BufferedReader(
                            new InputStreamReader(
                                    connection.getInputStream(), StandardCharsets.ISO_8859_1));
            while (!request.readLine().isEmpty()) {
                continue;
            }
            script.answer(connection);
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    private static void write(Socket connection, String text) throws IOException {
        connection.getOutputStream().write(text.getBytes(StandardCharsets.ISO_8859_1));
    }

    // Guards against a broken answer of a node that operators are shown as its status.
    @ParameterizedTest
    @MethodSource("brokenAnswers")
    void nodeWithBrokenAnswerIsSilent(String answer) throws Exception {
        assertThat(statusOf(connection -> write(connection, answer)))
                .isInstanceOf(NodeAnswer.Silent.class);
        assertThat(
                        statusOf(
                                connection -> {
                                    write(connection, answer);
                                    connection.setSoLinger(true, 0);
                                }))
                .isInstanceOf(NodeAnswer.Silent.class);
    }

    static Stream<String> brokenAnswers() {
        return Stream.of(
                "HTTP/1.1 200 OK\r\n\r\n" + PART,
                "HTTP/1.1 200 OK\r\nContent-Length: " + STATUS.length() + "\r\n\r\n" + PART,
                "HTTP/1.1 200 OK\r\nContent-Length: " + STATUS.length() + "\r\n",
                "HTTP/1.1 000 OK\r\n" + FRAMED,
                "HTTP/1.1 200 OK\r\nX Y: 1\r\n" + FRAMED,
                "HTTP/1.1 200 OK\r\nX\u0001: 1\r\n" + FRAMED);
    }

    @Test
    void nodeWithWholeAnswerHasAnswered() throws Exception {
        assertThat(statusOf(connection -> write(connection, "HTTP/1.1 200 OK\r\n" + FRAMED)))
                .isInstanceOf(NodeAnswer.Answered.class);
    }

    // Guards against an answer without end that is kept until the memory is used up.
    @Test
    void nodeWithEndlessAnswerIsSilent() throws Exception {
        String spaces = " ".repeat(100_000);
        assertThat(
                        statusOf(
                                connection -> {
                                    write(connection, "HTTP/1.1 200 OK\r\n\r\n");
                                    writeUntilClosed(connection, spaces);
                                }))
                .isInstanceOf(NodeAnswer.Silent.class);
    }

    private static void writeUntilClosed(Socket connection, String text) {
        try {
            while (true) {
                write(connection, text);
            }
        } catch (IOException ignored) {
            // The peer closed the connection, as it should.
        }
    }
}

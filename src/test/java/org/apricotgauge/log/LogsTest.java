package org.apricotgauge.log;

import static org.assertj.core.api.Assertions.assertThat;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.json.JsonMapper;
import java.io.ByteArrayOutputStream;
import java.io.FilterOutputStream;
import java.io.IOException;
import java.io.OutputStream;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.atomic.AtomicBoolean;
import org.apricotgauge.bench.LocalFleet;
import org.jboss.logging.Logger;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.slf4j.LoggerFactory;

class LogsTest {
    private record Ejected(String id, int failures) {}

    private final ByteArrayOutputStream mStream = new ByteArrayOutputStream();

    @AfterEach
    void writeToStandardErrorAgain() {
        Logs.configure(new LogSettings(LogFormat.TEXT, LogLevel.INFO));
    }

    @Test
    void eachLineIsOneJsonObjectWithTheFieldsOfTheChange() throws IOException {
        Logs.configure(new LogSettings(LogFormat.JSON, LogLevel.INFO), mStream);

        new StateLog(Logger.getLogger("x")).info("target\nejected", new Ejected("t1", 3));
        Logger.getLogger("x").errorf(new IllegalStateException("why"), "broken %s", "thing");
        Logger.getLogger("x").debug("not shown");
        LoggerFactory.getLogger("org.eclipse.jetty.server").info("not shown");

        String[] lines = mStream.toString(StandardCharsets.UTF_8).split("\n");
        assertThat(lines).hasSize(2);
        JsonNode ejected = JsonMapper.builder().build().readTree(lines[0]);
        assertThat(ejected.path("change").path("failures").intValue()).isEqualTo(3);
        assertThat(ejected.path("message").textValue()).isEqualTo("target\nejected");
        assertThat(ejected.path("time").textValue()).endsWith("Z");
        JsonNode broken = JsonMapper.builder().build().readTree(lines[1]);
        assertThat(broken.path("error").textValue()).contains("IllegalStateException: why");
        assertThat(broken.has("change")).isFalse();
    }

    @Test
    void aReaderThatStopsReadingHoldsNobodyUpAndLosesLinesByCount() throws Exception {
        // Whoever collects a node's output stops reading. Each request that logs would wait for
        // the pipe; instead lines are dropped, and the next one written tells how many.
        CountDownLatch reads = new CountDownLatch(1);
        OutputStream stuck =
                new FilterOutputStream(mStream) {
                    @Override
                    public void write(byte[] bytes, int offset, int length) throws IOException {
                        await(reads);
                        out.write(bytes, offset, length);
                    }
                };
        Logs.configureWithoutBlocking(new LogSettings(LogFormat.JSON, LogLevel.INFO), stuck);
        Logger logger = Logger.getLogger("x");
        for (int i = 0; i < 2_000; i++) {
            logger.info("request ended");
        }

        reads.countDown();
        LocalFleet.await(() -> mStream.toString(StandardCharsets.UTF_8).lines().count() > 500);
        logger.info("the last");
        LocalFleet.await(() -> mStream.toString(StandardCharsets.UTF_8).contains("the last"));

        List<String> lines = mStream.toString(StandardCharsets.UTF_8).lines().toList();
        long dropped = 0;
        for (String line : lines) {
            dropped += JsonMapper.builder().build().readTree(line).path("linesDropped").asLong();
        }
        assertThat(dropped).isPositive();
        assertThat(lines.size() + dropped).isEqualTo(2_001);
    }

    private static void await(CountDownLatch latch) throws IOException {
        try {
            latch.await();
        } catch (InterruptedException e) {
            throw new IOException(e);
        }
    }

    /**
     * A second configuration stops the first one's appender, which closes its stream: were that
     * standard error, the process would be mute from then on, its reason for exiting too.
     */
    @Test
    void configuringAnewLeavesTheStreamOpen() {
        AtomicBoolean isClosed = new AtomicBoolean();
        OutputStream stream =
                new FilterOutputStream(mStream) {
                    @Override
                    public void close() {
                        isClosed.set(true);
                    }
                };
        Logs.configure(new LogSettings(LogFormat.TEXT, LogLevel.INFO), stream);

        Logs.configure(new LogSettings(LogFormat.JSON, LogLevel.INFO), mStream);

        assertThat(isClosed).isFalse();
    }

    @Test
    void textLinesEndWithTheFieldsOfTheChange() {
        Logs.configure(new LogSettings(LogFormat.TEXT, LogLevel.INFO), mStream);

        new StateLog(Logger.getLogger("x")).warn("target ejected", new Ejected("t1", 3));
        Logger.getLogger("x").info("plain");

        assertThat(mStream.toString(StandardCharsets.UTF_8).lines())
                .satisfiesExactly(
                        line ->
                                assertThat(line)
                                        .endsWith("target ejected {\"id\":\"t1\",\"failures\":3}"),
                        line -> assertThat(line).endsWith("plain"));
    }
}

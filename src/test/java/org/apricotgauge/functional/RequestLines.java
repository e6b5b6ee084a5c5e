package org.apricotgauge.functional;

import ch.qos.logback.classic.Level;
import ch.qos.logback.classic.Logger;
import ch.qos.logback.classic.spi.ILoggingEvent;
import ch.qos.logback.core.AppenderBase;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.json.JsonMapper;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import org.slf4j.LoggerFactory;

/** Keeps the lines that are logged about requests until it is closed. */
final class RequestLines extends AppenderBase<ILoggingEvent> implements AutoCloseable {
    private static final JsonMapper MAPPER = JsonMapper.builder().build();

    private final Logger mLogger = (Logger) LoggerFactory.getLogger("org.apricotgauge.requests");
    private final Level mLevelBefore = mLogger.getLevel();
    private final List<Line> mLines = new CopyOnWriteArrayList<>();

    /** One line: its message and the fields of its change. */
    private record Line(String message, JsonNode change) {}

    RequestLines() {
        start();
        mLogger.setLevel(Level.INFO);
        mLogger.setAdditive(false);
        mLogger.addAppender(this);
    }

    @Override
    protected void append(ILoggingEvent event) {
        String change = event.getMDCPropertyMap().getOrDefault("change", "{}");
        try {
            mLines.add(new Line(event.getFormattedMessage(), MAPPER.readTree(change)));
        } catch (JsonProcessingException e) {
            addError("unreadable change", e);
        }
    }

    /** Returns what is told of the runs in the lines with a message about an attempt, in order. */
    List<JsonNode> runs(String message, String attempt) {
        return mLines.stream()
                .filter(line -> line.message().equals(message))
                .map(line -> line.change().path("run"))
                .filter(run -> run.path("attempt").asText().equals(attempt))
                .toList();
    }

    @Override
    public void close() {
        mLogger.detachAppender(this);
        mLogger.setLevel(mLevelBefore);
        mLogger.setAdditive(true);
        stop();
    }
}

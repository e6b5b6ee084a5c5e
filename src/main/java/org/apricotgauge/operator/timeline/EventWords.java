package org.apricotgauge.operator.timeline;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.json.JsonMapper;
import java.time.Instant;
import java.util.stream.Collectors;
import org.apricotgauge.event.Cause;
import org.apricotgauge.event.Event;
import org.apricotgauge.event.EventBody;
import org.apricotgauge.event.EventCodec;

/** An event in words, as the text and the page show it. */
final class EventWords {
    private static final JsonMapper MAPPER = JsonMapper.builder().build();
    private static final long TOLD_SKEW_MILLIS = 100;

    private EventWords() {}

    /** Returns the fields of what happened, such as {@code service="roster" target="t7"}. */
    static String fields(EventBody body) {
        try {
            return MAPPER.readTree(EventCodec.bodyJson(body)).properties().stream()
                    .map(field -> field.getKey() + '=' + field.getValue())
                    .collect(Collectors.joining(" "));
        } catch (JsonProcessingException e) {
            throw new IllegalStateException("a codec's own JSON is not read: " + e, e);
        }
    }

    /** Returns what led to the event, or the empty text. */
    static String cause(Cause cause) {
        if (cause instanceof Cause.ByEvent event) {
            return event.id().toString();
        }
        return cause instanceof Cause.ByRequest request ? "request " + request.requestId() : "";
    }

    /** Returns the node's wall time, in UTC. */
    static String time(Event event) {
        return Instant.ofEpochMilli(event.wallMillis()).toString();
    }

    /** Returns by how much the node's wall clock was behind, or the empty text. */
    static String skew(Event event) {
        long behindMillis = event.hlc().millis() - event.wallMillis();
        return behindMillis < TOLD_SKEW_MILLIS ? "" : "clock " + behindMillis + " ms behind";
    }
}

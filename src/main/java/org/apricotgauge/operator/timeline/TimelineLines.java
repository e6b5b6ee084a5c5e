package org.apricotgauge.operator.timeline;

import com.fasterxml.jackson.databind.json.JsonMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import org.apricotgauge.event.Event;
import org.apricotgauge.event.EventCodec;

/** The time line as lines of text or JSON. */
final class TimelineLines {
    private static final JsonMapper MAPPER = JsonMapper.builder().build();

    private TimelineLines() {}

    /** Gaps begin with an exclamation mark; late events say so. */
    static String text(Timeline timeline) {
        StringBuilder out = new StringBuilder();
        for (TimelineGap gap : timeline.gaps()) {
            out.append("! ").append(words(gap)).append('\n');
        }
        for (TimelineEvent shown : timeline.events()) {
            Event event = shown.event();
            out.append(EventWords.time(event)).append("  ").append(event.id()).append("  ");
            out.append(EventCodec.typeOf(event.body())).append("  ");
            out.append(EventWords.fields(event.body()));
            append(out, "  <- ", EventWords.cause(event.cause()));
            append(out, "  ! ", EventWords.skew(event));
            append(out, "  ! ", shown.isLate() ? "late, out of order" : "");
            out.append('\n');
        }
        return out.toString();
    }

    /** Events are written as the nodes serve them; gaps have the type {@code gap}. */
    static String json(Timeline timeline) {
        StringBuilder out = new StringBuilder();
        for (TimelineGap gap : timeline.gaps()) {
            ObjectNode node = MAPPER.createObjectNode();
            node.put("type", "gap");
            node.put("address", gap.node().toString());
            node.put("reason", words(gap));
            out.append(node).append('\n');
        }
        for (TimelineEvent shown : timeline.events()) {
            out.append(EventCodec.write(shown.event())).append('\n');
        }
        return out.toString();
    }

    static String words(TimelineGap gap) {
        if (gap instanceof TimelineGap.NodeSilent silent) {
            return silent.node() + " did not answer: " + silent.reason();
        }
        TimelineGap.EventsLost lost = (TimelineGap.EventsLost) gap;
        return lost.node() + " no longer holds " + lost.count() + " older events";
    }

    private static void append(StringBuilder out, String prefix, String text) {
        if (!text.isEmpty()) {
            out.append(prefix).append(text);
        }
    }
}

package org.apricotgauge.operator.timeline;

import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.TreeSet;
import org.apricotgauge.event.Cause;
import org.apricotgauge.event.Event;
import org.apricotgauge.event.EventCodec;
import org.apricotgauge.event.EventId;

/**
 * The time line as one HTML page: a column for each node, a row for each event, an arrow from each
 * named cause to its effect. The page needs no other file and runs no script.
 */
final class TimelinePage {
    private static final int ROW_PX = 22;
    private static final int LANE_PX = 110;
    private static final int MARGIN_PX = 60;
    private static final int HEAD_PX = 30;
    private static final int RADIUS_PX = 5;
    private static final int MAX_WORDS = 160;
    private static final String STYLE =
            """
            body{font:13px sans-serif;margin:1em}
            svg text{font:12px sans-serif}
            .lane{stroke:#ccc}
            .cause{stroke:#c60;fill:none;stroke-width:1.5}
            .event{fill:#247}
            .gap{color:#a00}
            """;

    private final StringBuilder mOut = new StringBuilder();
    private final Map<String, Integer> mLanes = new HashMap<>();
    private final Map<EventId, Integer> mRows = new HashMap<>();

    private TimelinePage() {}

    static String write(Timeline timeline) {
        TimelinePage page = new TimelinePage();
        page.place(timeline.events());
        page.head(timeline);
        page.drawing(timeline.events());
        page.mOut.append("</body></html>\n");
        return page.mOut.toString();
    }

    private void place(List<TimelineEvent> events) {
        TreeSet<String> nodes = new TreeSet<>();
        events.forEach(shown -> nodes.add(shown.event().id().node()));
        nodes.forEach(node -> mLanes.put(node, mLanes.size()));
        events.forEach(shown -> mRows.put(shown.event().id(), mRows.size()));
    }

    private void head(Timeline timeline) {
        mOut.append("<!DOCTYPE html>\n<html lang=\"en\"><head><meta charset=\"utf-8\">");
        mOut.append("<title>apricotgauge time line</title><style>\n").append(STYLE);
        mOut.append("</style></head><body>\n<h1>Time line</h1>\n<p>");
        mOut.append(timeline.events().size()).append(" events of ").append(mLanes.size());
        mOut.append(" nodes, causes above effects. Times are the nodes' own.</p>\n");
        for (TimelineGap gap : timeline.gaps()) {
            String words = escaped(TimelineLines.words(gap));
            mOut.append("<p class=\"gap\">").append(words).append("</p>\n");
        }
    }

    private void drawing(List<TimelineEvent> events) {
        int wordsX = MARGIN_PX + mLanes.size() * LANE_PX;
        int height = HEAD_PX + (events.size() + 1) * ROW_PX;
        format(
                "<svg xmlns=\"http://www.w3.org/2000/svg\" width=\"%d\" height=\"%d\">%n",
                wordsX + 1200, height);
        mLanes.forEach((node, lane) -> lane(node, laneX(node), height));
        for (TimelineEvent shown : events) {
            arrow(shown.event());
        }
        for (TimelineEvent shown : events) {
            row(shown.event(), wordsX);
        }
        mOut.append("</svg>\n");
    }

    private void lane(String node, int x, int height) {
        format(
                "<line class=\"lane\" x1=\"%d\" y1=\"%d\" x2=\"%d\" y2=\"%d\"/>",
                x, HEAD_PX, x, height);
        format(
                "<text x=\"%d\" y=\"%d\" text-anchor=\"middle\">%s</text>%n",
                x, HEAD_PX - 10, escaped(node));
    }

    private void arrow(Event event) {
        if (event.cause() instanceof Cause.ByEvent cause && mRows.containsKey(cause.id())) {
            int fromX = laneX(cause.id().node());
            int fromY = rowY(cause.id());
            int toX = laneX(event.id().node());
            int toY = rowY(event.id());
            int bendX = (fromX + toX) / 2 - LANE_PX / 3;
            format(
                    "<path class=\"cause\" d=\"M%d %dQ%d %d %d %d\"/>%n",
                    fromX, fromY, bendX, (fromY + toY) / 2, toX, toY);
        }
    }

    private void row(Event event, int wordsX) {
        String words =
                EventWords.time(event)
                        + "  "
                        + EventCodec.typeOf(event.body())
                        + "  "
                        + EventWords.fields(event.body())
                        + "  "
                        + EventWords.skew(event);
        String title =
                words
                        + "\n"
                        + event.id()
                        + " at "
                        + event.hlc()
                        + "\ncause: "
                        + EventWords.cause(event.cause());
        String shown = words.length() <= MAX_WORDS ? words : words.substring(0, MAX_WORDS) + "...";
        int y = rowY(event.id());
        format(
                "<g><title>%s</title><circle class=\"event\" cx=\"%d\" cy=\"%d\" r=\"%d\"/>",
                escaped(title), laneX(event.id().node()), y, RADIUS_PX);
        format("<text x=\"%d\" y=\"%d\">%s</text></g>%n", wordsX, y + RADIUS_PX, escaped(shown));
    }

    private int laneX(String node) {
        return MARGIN_PX + mLanes.get(node) * LANE_PX;
    }

    private int rowY(EventId id) {
        return HEAD_PX + (mRows.get(id) + 1) * ROW_PX - ROW_PX / 2;
    }

    private void format(String format, Object... values) {
        mOut.append(String.format(Locale.ROOT, format, values));
    }

    /** Evidence holds what targets sent; unescaped it could run as a script in a browser. */
    private static String escaped(String text) {
        return text.replace("&", "&amp;")
                .replace("<", "&lt;")
                .replace(">", "&gt;")
                .replace("\"", "&quot;")
                .replace("'", "&#39;");
    }
}

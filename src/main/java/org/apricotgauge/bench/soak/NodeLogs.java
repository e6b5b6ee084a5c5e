package org.apricotgauge.bench.soak;

import java.io.BufferedReader;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Instant;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Locale;
import java.util.Optional;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** Lines of the nodes' logs that tell what became of a request. */
final class NodeLogs {
    private static final Pattern TIME = Pattern.compile("^\\{\"time\":\"([^\"]+)\"");
    private static final Pattern STOP = Pattern.compile("\"message\":\"[Ss]top");
    private static final int MAX_LINE_CHARS = 2_000;

    /** How long before a request and after its end its entry's lines on a stop are of interest. */
    private static final long STOP_MILLIS = 8_000;

    private final List<Line> mLines;

    /**
     * One line.
     *
     * @param node number of the node that wrote it
     * @param millis when, by the clock of the soak
     * @param text the line
     */
    record Line(int node, long millis, String text) {}

    NodeLogs(List<Line> lines) {
        mLines = lines.stream().sorted(Comparator.comparingLong(Line::millis)).toList();
    }

    /**
     * Reads the logs; lines from before the soak, as of an earlier one in the same directory, are
     * passed over.
     *
     * @param logs the log of each node
     * @param start when the clock of the soak began
     */
    static NodeLogs read(List<Path> logs, Instant start) throws IOException {
        List<Line> lines = new ArrayList<>();
        for (int node = 0; node < logs.size(); node++) {
            if (!Files.exists(logs.get(node))) {
                continue;
            }
            try (BufferedReader log =
                    Files.newBufferedReader(logs.get(node), StandardCharsets.UTF_8)) {
                for (String text = log.readLine(); text != null; text = log.readLine()) {
                    line(node, text, start).ifPresent(lines::add);
                }
            }
        }
        return new NodeLogs(lines);
    }

    private static Optional<Line> line(int node, String text, Instant start) {
        Matcher time = TIME.matcher(text);
        if (!time.find()) {
            return Optional.empty();
        }
        long millis = Instant.parse(time.group(1)).toEpochMilli() - start.toEpochMilli();
        return millis < 0 ? Optional.empty() : Optional.of(new Line(node, millis, text));
    }

    /** Returns the lines with a request's id, and those of its entry that tell of a stop. */
    List<String> of(Exchange exchange) {
        long fromMillis = exchange.sentMillis() - STOP_MILLIS;
        long toMillis = exchange.endMillis() + STOP_MILLIS;
        return mLines.stream()
                .filter(line -> line.millis() >= fromMillis && line.millis() <= toMillis)
                .filter(line -> isOf(exchange, line))
                .map(line -> text(exchange, line))
                .toList();
    }

    private static boolean isOf(Exchange exchange, Line line) {
        boolean isStopOfEntry = line.node() == exchange.entry() && STOP.matcher(line.text()).find();
        return isStopOfEntry || line.text().contains(exchange.request().id());
    }

    private static String text(Exchange exchange, Line line) {
        int length = Math.min(line.text().length(), MAX_LINE_CHARS);
        int start = line.text().indexOf("\"message\"");
        return String.format(
                Locale.ROOT,
                "  %s %d %+.3f %s",
                line.node() == exchange.entry() ? "entry" : "node",
                line.node(),
                (line.millis() - exchange.sentMillis()) / 1_000.0,
                line.text().substring(Math.max(0, Math.min(start, length)), length));
    }
}

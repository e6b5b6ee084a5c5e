package org.apricotgauge.operator.story;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.json.JsonMapper;
import java.time.Instant;
import java.time.format.DateTimeParseException;
import java.util.Optional;
import org.apricotgauge.model.Checks;

/**
 * One line of a node's log.
 *
 * <pre>{@code
 * StoryLine.parse("vm-7 {\"time\":\"2026-08-01T09:30:39Z\",\"message\":\"run started\",...}", "a")
 * }</pre>
 *
 * @param time when it was written, by the node's own time of day
 * @param node who wrote it
 * @param message what happened
 * @param change the fields of what happened
 */
record StoryLine(Instant time, String node, String message, JsonNode change) {
    private static final JsonMapper MAPPER = JsonMapper.builder().build();

    /** Checks the parts. */
    StoryLine {
        Checks.notNull("time", time);
        Checks.notNull("node", node);
        Checks.notNull("message", message);
        Checks.notNull("change", change);
    }

    /**
     * Reads a line; nothing if it is none of a node's.
     *
     * @param text the line; a word before the object, as collectors of logs write it, names the
     *     node
     * @param file what the node is called where no word names it
     */
    static Optional<StoryLine> parse(String text, String file) {
        int brace = text.indexOf('{');
        if (brace < 0) {
            return Optional.empty();
        }
        try {
            JsonNode line = MAPPER.readTree(text.substring(brace));
            Instant time = Instant.parse(line.path("time").asText());
            String node = nodeOf(text.substring(0, brace).strip(), file);
            return Optional.of(
                    new StoryLine(time, node, line.path("message").asText(), line.path("change")));
        } catch (JsonProcessingException | DateTimeParseException e) {
            return Optional.empty();
        }
    }

    private static String nodeOf(String before, String file) {
        return before.isEmpty() ? file : before.substring(before.lastIndexOf(' ') + 1);
    }

    /** Returns the text of a field of the change, empty if there is none. */
    String field(String... names) {
        JsonNode at = change;
        for (String name : names) {
            at = at.path(name);
        }
        return at.asText("");
    }
}

package org.apricotgauge.operator.review;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import org.apricotgauge.config.ConfigHistory;
import org.apricotgauge.config.LogEntry;
import org.apricotgauge.config.SnapshotAssembler;
import org.apricotgauge.config.SnapshotChunk;
import org.apricotgauge.config.SnapshotCodec;

/**
 * Reads the history from a file.
 *
 * <p>The file is one of: a JSON list of patches, each an object or the text of one; a saved answer
 * of the platform's {@code GET /v1/log} from position 1; or a JSON list of the chunks of one
 * snapshot.
 */
final class FileHistorySource implements HistorySource {
    private static final ObjectMapper MAPPER = new ObjectMapper();

    private final Path mPath;

    FileHistorySource(Path path) {
        mPath = path;
    }

    @Override
    public ConfigHistory read() throws IOException {
        JsonNode tree = parse(TextFile.read(mPath));
        if (tree.isObject() && tree.path("entries").isArray()) {
            return fromPage(tree.path("entries"));
        }
        if (!tree.isArray()) {
            throw new IOException(mPath + " holds neither a list nor an answer of the platform");
        }
        return tree.path(0).has("mark") ? fromSnapshot(tree) : fromPatches(tree);
    }

    private JsonNode parse(String text) throws IOException {
        try {
            return MAPPER.readTree(text);
        } catch (JsonProcessingException e) {
            throw new IOException(mPath + " is not JSON, line " + e.getLocation().getLineNr());
        }
    }

    private ConfigHistory fromPage(JsonNode entries) throws IOException {
        HistoryBuilder builder = new HistoryBuilder(ConfigHistory.EMPTY);
        for (JsonNode entry : entries) {
            long position = entry.path("position").asLong();
            if (position < 1 || !entry.path("body").isTextual()) {
                throw new IOException(mPath + " holds an entry without position or body");
            }
            builder.add(new LogEntry(position, entry.path("body").textValue()));
        }
        return builder.history();
    }

    private static ConfigHistory fromPatches(JsonNode patches) throws IOException {
        HistoryBuilder builder = new HistoryBuilder(ConfigHistory.EMPTY);
        for (JsonNode patch : patches) {
            String body = patch.isTextual() ? patch.textValue() : patch.toString();
            builder.add(new LogEntry(builder.history().position() + 1, body));
        }
        return builder.history();
    }

    private ConfigHistory fromSnapshot(JsonNode tree) throws IOException {
        List<SnapshotChunk> chunks = new ArrayList<>();
        for (JsonNode chunk : tree) {
            chunks.add(chunk(chunk));
        }
        SnapshotAssembler.Result result = SnapshotCodec.decode(chunks);
        if (result instanceof SnapshotAssembler.Restored restored) {
            return restored.history();
        }
        throw new IOException(mPath + " holds no whole snapshot: " + result);
    }

    private SnapshotChunk chunk(JsonNode chunk) throws IOException {
        try {
            return SnapshotCodec.fromJson(chunk.toString());
        } catch (IllegalArgumentException e) {
            throw new IOException(mPath + ": " + e.getMessage());
        }
    }
}

package org.apricotgauge.config;

import static java.nio.charset.StandardCharsets.UTF_8;

import com.fasterxml.jackson.annotation.JsonInclude;
import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonFactoryBuilder;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.core.StreamReadConstraints;
import com.fasterxml.jackson.core.StreamReadFeature;
import com.fasterxml.jackson.core.StreamWriteFeature;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.JsonMappingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.MapperFeature;
import com.fasterxml.jackson.databind.exc.UnrecognizedPropertyException;
import com.fasterxml.jackson.databind.json.JsonMapper;
import java.util.regex.Pattern;
import java.util.stream.Collectors;

/**
 * Patches as JSON text.
 *
 * <pre>{@code
 * String body = PatchCodec.encode(patch);
 * PatchCodec.Result result = PatchCodec.decode(body);
 * }</pre>
 *
 * <p>Reading is strict, since what one release passes over another would not: unknown and repeated
 * fields, trailing text and coerced types are refused. The bounds are set here and not left to the
 * library's defaults, which differ between its versions.
 */
public final class PatchCodec {
    /** The longest body in bytes of UTF-8: the platform's bound on a value. */
    public static final int MAX_BYTES = 1_048_576;

    private static final int MAX_DEPTH = 16;
    private static final int MAX_NUMBER_CHARS = 64;
    private static final int MAX_DETAIL_CHARS = 300;

    /** What the library says of its own input, such as "(for Array starting at [Source: ...])". */
    private static final Pattern LIBRARY_SOURCE =
            Pattern.compile("\\s*\\([^()]*\\[Source:.*\\]\\)");

    private static final JsonMapper MAPPER = newMapper();

    private PatchCodec() {}

    /** What reading a body gave. */
    public sealed interface Result {}

    /** The body is a well-formed patch. */
    public record Decoded(Patch patch) implements Result {}

    /** The body is no patch that this release can read. */
    public record Undecodable(RefusalReason reason) implements Result {}

    /** Returns the JSON text of the patch. */
    public static String encode(Patch patch) {
        try {
            return MAPPER.writeValueAsString(patch);
        } catch (JsonProcessingException e) {
            throw new IllegalStateException("a patch can always be written", e);
        }
    }

    /** Reads a patch, or tells in one line why the text is none. */
    public static Result decode(String body) {
        Envelope envelope = openEnvelope(body);
        return envelope.reason() != null ? new Undecodable(envelope.reason()) : decode(envelope);
    }

    /**
     * Reads what every release reads alike, whatever rules the patch is judged by: syntax, base
     * version and version of the rules.
     */
    static Envelope openEnvelope(String body) {
        long bytes = body.getBytes(UTF_8).length;
        if (bytes > MAX_BYTES) {
            return Envelope.failed(new RefusalReason.TooLarge(bytes, MAX_BYTES));
        }
        JsonNode tree;
        try {
            tree = MAPPER.readTree(body);
        } catch (JsonProcessingException e) {
            return Envelope.failed(malformed(e));
        }
        if (!tree.isObject()) {
            return Envelope.failed(new RefusalReason.Malformed("a patch must be a JSON object"));
        }
        JsonNode base = tree.path("baseVersion");
        if (!base.isIntegralNumber() || !base.canConvertToLong() || base.longValue() < 0) {
            return Envelope.failed(
                    new RefusalReason.Malformed("baseVersion must be a whole number from 0"));
        }
        JsonNode rules = tree.path("rulesVersion");
        if (!rules.isIntegralNumber() || !rules.canConvertToInt()) {
            return Envelope.failed(
                    new RefusalReason.Malformed("rulesVersion must be a whole number"));
        }
        return new Envelope(tree, base.longValue(), rules.intValue(), null);
    }

    static Result decode(Envelope envelope) {
        try {
            return new Decoded(MAPPER.treeToValue(envelope.tree(), Patch.class));
        } catch (JsonProcessingException e) {
            return new Undecodable(malformed(e));
        }
    }

    /** Returns the mapper that reads and writes everything of this package. */
    static JsonMapper mapper() {
        return MAPPER;
    }

    static RefusalReason.Malformed malformed(JsonProcessingException e) {
        String path = e instanceof JsonMappingException mapping ? path(mapping) : "";
        String detail = path.isEmpty() ? cause(e) : path + ": " + cause(e);
        if (e.getLocation() != null && e.getLocation().getLineNr() > 0) {
            detail += " at line " + e.getLocation().getLineNr();
        }
        return new RefusalReason.Malformed(oneLine(detail));
    }

    private static String cause(JsonProcessingException e) {
        if (e instanceof UnrecognizedPropertyException) {
            return "unknown field";
        }
        if (e.getCause() instanceof IllegalArgumentException argument) {
            return argument.getMessage();
        }
        return e.getOriginalMessage();
    }

    private static String path(JsonMappingException e) {
        return e.getPath().stream()
                .map(
                        r ->
                                r.getFieldName() == null
                                        ? "[" + r.getIndex() + ']'
                                        : '.' + r.getFieldName())
                .collect(Collectors.joining())
                .replaceFirst("^\\.", "");
    }

    private static String oneLine(String text) {
        String line =
                LIBRARY_SOURCE
                        .matcher(text)
                        .replaceAll("")
                        .replaceAll("[\\p{Cntrl}\\s]+", " ")
                        .strip();
        return line.length() <= MAX_DETAIL_CHARS
                ? line
                : line.substring(0, MAX_DETAIL_CHARS) + "...";
    }

    private static JsonMapper newMapper() {
        JsonFactory factory =
                new JsonFactoryBuilder()
                        .streamReadConstraints(
                                StreamReadConstraints.builder()
                                        .maxNestingDepth(MAX_DEPTH)
                                        .maxNumberLength(MAX_NUMBER_CHARS)
                                        .maxStringLength(MAX_BYTES)
                                        .maxNameLength(MAX_BYTES)
                                        .build())
                        .enable(StreamReadFeature.STRICT_DUPLICATE_DETECTION)
                        // The JDK's way of writing doubles changed in Java 19; digests must not.
                        .enable(StreamWriteFeature.USE_FAST_DOUBLE_WRITER)
                        .build();
        return JsonMapper.builder(factory)
                .enable(
                        DeserializationFeature.FAIL_ON_TRAILING_TOKENS,
                        DeserializationFeature.FAIL_ON_NULL_FOR_PRIMITIVES,
                        DeserializationFeature.FAIL_ON_NUMBERS_FOR_ENUMS)
                .disable(DeserializationFeature.ACCEPT_FLOAT_AS_INT)
                .disable(MapperFeature.ALLOW_COERCION_OF_SCALARS)
                .enable(MapperFeature.SORT_PROPERTIES_ALPHABETICALLY)
                .defaultPropertyInclusion(
                        JsonInclude.Value.construct(
                                JsonInclude.Include.NON_NULL, JsonInclude.Include.ALWAYS))
                .build();
    }

    /** The parts of a body that all releases read, or why they cannot be read. */
    record Envelope(JsonNode tree, long baseVersion, int rulesVersion, RefusalReason reason) {
        static Envelope failed(RefusalReason reason) {
            return new Envelope(null, 0, 0, reason);
        }
    }
}

package org.apricotgauge.event;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.json.JsonMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;
import java.util.function.Function;
import java.util.stream.Collectors;

/**
 * Events as JSON.
 *
 * <pre>{@code
 * {"id":"vm-1/1733172000000/7","hlc":"1733172000123.0","wallMillis":1733172000123,
 *  "causeRequest":"r-9","type":"target-ejected","body":{"service":"roster",...}}
 * }</pre>
 *
 * <p>Fields that a reader does not know are ignored, and kinds that it does not know become {@link
 * UnrecognizedBody}, so that old and new releases read each other. Malformed JSON fails with {@link
 * IllegalArgumentException}.
 */
public final class EventCodec {
    private static final JsonMapper MAPPER =
            JsonMapper.builder().disable(DeserializationFeature.FAIL_ON_UNKNOWN_PROPERTIES).build();
    private static final Map<String, Class<?>> KINDS =
            Arrays.stream(EventBody.class.getPermittedSubclasses())
                    .filter(kind -> kind != UnrecognizedBody.class)
                    .collect(Collectors.toUnmodifiableMap(EventCodec::nameOf, Function.identity()));

    private EventCodec() {}

    /** Returns the names of all kinds that this release knows. */
    public static Set<String> types() {
        return new TreeSet<>(KINDS.keySet());
    }

    /** Returns the name of an event's kind, as in JSON. */
    public static String typeOf(EventBody body) {
        return body instanceof UnrecognizedBody unknown ? unknown.type() : nameOf(body.getClass());
    }

    /** Returns the fields of what happened as one line of JSON. */
    public static String bodyJson(EventBody body) {
        return bodyNode(body).toString();
    }

    /** Returns an event as one line of JSON. */
    public static String write(Event event) {
        return node(event).toString();
    }

    /** Returns a page as one line of JSON. */
    public static String write(EventPage page) {
        ObjectNode root = MAPPER.createObjectNode();
        root.put("node", page.node());
        root.put("incarnation", page.incarnation());
        root.put("readAt", page.readAt().toString());
        root.put("lost", page.lost());
        root.put("nextSince", page.nextSince());
        root.put("lastSequence", page.lastSequence());
        ArrayNode events = root.putArray("events");
        page.events().forEach(event -> events.add(node(event)));
        return root.toString();
    }

    /** Reads an event. */
    public static Event readEvent(String json) {
        return event(tree(json));
    }

    /** Reads a page. */
    public static EventPage readPage(String json) {
        JsonNode root = tree(json);
        List<Event> events = new ArrayList<>();
        root.path("events").forEach(event -> events.add(event(event)));
        return new EventPage(
                text(root, "node"),
                number(root, "incarnation"),
                HlcTimestamp.parse(text(root, "readAt")),
                number(root, "lost"),
                number(root, "nextSince"),
                number(root, "lastSequence"),
                events);
    }

    private static ObjectNode node(Event event) {
        ObjectNode node = MAPPER.createObjectNode();
        node.put("id", event.id().toString());
        node.put("hlc", event.hlc().toString());
        node.put("wallMillis", event.wallMillis());
        if (event.cause() instanceof Cause.ByEvent cause) {
            node.put("causeEvent", cause.id().toString());
        }
        if (event.cause() instanceof Cause.ByRequest cause) {
            node.put("causeRequest", cause.requestId());
        }
        node.put("type", typeOf(event.body()));
        node.set("body", bodyNode(event.body()));
        return node;
    }

    private static JsonNode bodyNode(EventBody body) {
        return body instanceof UnrecognizedBody unknown
                ? tree(unknown.json())
                : MAPPER.valueToTree(body);
    }

    private static Event event(JsonNode node) {
        return new Event(
                EventId.parse(text(node, "id")),
                HlcTimestamp.parse(text(node, "hlc")),
                number(node, "wallMillis"),
                cause(node),
                body(text(node, "type"), node.path("body")));
    }

    private static Cause cause(JsonNode node) {
        if (node.has("causeEvent")) {
            return new Cause.ByEvent(EventId.parse(text(node, "causeEvent")));
        }
        if (node.has("causeRequest")) {
            return new Cause.ByRequest(text(node, "causeRequest"));
        }
        return Cause.none();
    }

    private static EventBody body(String type, JsonNode node) {
        Class<?> kind = KINDS.get(type);
        if (kind == null) {
            return new UnrecognizedBody(type, node.isMissingNode() ? "{}" : node.toString());
        }
        try {
            return (EventBody) MAPPER.treeToValue(node, kind);
        } catch (JsonProcessingException e) {
            throw new IllegalArgumentException("not an event of type " + type + ": " + node, e);
        }
    }

    private static JsonNode tree(String json) {
        try {
            return MAPPER.readTree(json);
        } catch (JsonProcessingException e) {
            throw new IllegalArgumentException("not JSON: " + e.getOriginalMessage(), e);
        }
    }

    private static String text(JsonNode node, String field) {
        JsonNode value = node.path(field);
        if (!value.isTextual()) {
            throw new IllegalArgumentException(field + " must be a text, was " + value);
        }
        return value.textValue();
    }

    private static long number(JsonNode node, String field) {
        JsonNode value = node.path(field);
        if (!value.isIntegralNumber()) {
            throw new IllegalArgumentException(field + " must be a whole number, was " + value);
        }
        return value.longValue();
    }

    private static String nameOf(Class<?> kind) {
        return kind.getSimpleName().replaceAll("(?<=[a-z])(?=[A-Z])", "-").toLowerCase(Locale.ROOT);
    }
}

package org.apricotgauge.operator.review;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Set;
import org.apricotgauge.config.EntityKind;
import org.apricotgauge.config.Patch;
import org.apricotgauge.model.Configuration;
import org.apricotgauge.operator.review.EntityChange.Change;
import org.apricotgauge.operator.review.EntityChange.FieldChange;

/** Finds what a patch changes by looking at each entity it names before and after. */
final class PatchDiff {
    private static final ObjectMapper MAPPER = new ObjectMapper();

    private final Configuration mBefore;
    private final Configuration mAfter;

    PatchDiff(Configuration before, Configuration after) {
        mBefore = before;
        mAfter = after;
    }

    /**
     * Returns the changes in the order of the patch; entities that stay as they were are left out.
     */
    List<EntityChange> changes(Patch patch) {
        Set<Key> keys = new LinkedHashSet<>();
        patch.operations().forEach(o -> keys.add(new Key(o.kind(), o.entityId())));
        List<EntityChange> changes = new ArrayList<>();
        for (Key key : keys) {
            Map<String, String> before = fields(find(mBefore, key));
            Map<String, String> after = fields(find(mAfter, key));
            if (!before.equals(after)) {
                changes.add(change(key, before, after));
            }
        }
        return changes;
    }

    private static EntityChange change(
            Key key, Map<String, String> before, Map<String, String> after) {
        if (after.isEmpty()) {
            return new EntityChange(key.kind(), key.id(), Change.REMOVED, List.of());
        }
        Set<String> names = new LinkedHashSet<>(after.keySet());
        names.addAll(before.keySet());
        List<FieldChange> fields = new ArrayList<>();
        for (String name : names) {
            if (!Objects.equals(before.get(name), after.get(name))) {
                fields.add(new FieldChange(name, before.get(name), after.get(name)));
            }
        }
        Change change = before.isEmpty() ? Change.ADDED : Change.CHANGED;
        return new EntityChange(key.kind(), key.id(), change, fields);
    }

    private static Object find(Configuration configuration, Key key) {
        return switch (key.kind()) {
            case SERVICE -> configuration.service(key.id());
            case TARGET -> configuration.target(key.id());
            case ROUTE -> configuration.route(key.id());
            case MEMBER -> configuration.member(key.id());
            case SITE -> configuration.siteSettings();
        };
    }

    private static Map<String, String> fields(Object entity) {
        Map<String, String> fields = new LinkedHashMap<>();
        if (entity != null) {
            collect("", MAPPER.valueToTree(entity), fields);
            fields.remove("id");
        }
        return fields;
    }

    private static void collect(String prefix, JsonNode tree, Map<String, String> fields) {
        for (Map.Entry<String, JsonNode> field : tree.properties()) {
            String name = prefix + field.getKey();
            if (field.getValue().isObject()) {
                collect(name + '.', field.getValue(), fields);
            } else if (!field.getValue().isNull()) {
                fields.put(name, field.getValue().asText());
            }
        }
    }

    /** Names one entity. */
    private record Key(EntityKind kind, String id) {}
}

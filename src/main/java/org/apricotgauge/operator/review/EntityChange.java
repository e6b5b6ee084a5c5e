package org.apricotgauge.operator.review;

import java.util.List;
import org.apricotgauge.config.EntityKind;

/**
 * What a patch does to one entity.
 *
 * @param kind kind of the entity
 * @param id name of the entity
 * @param change whether it comes, goes or changes
 * @param fields what of it changes; of one that comes all fields, of one that goes none
 */
record EntityChange(EntityKind kind, String id, Change change, List<FieldChange> fields) {

    /** Copies the list. */
    EntityChange {
        fields = List.copyOf(fields);
    }

    /** Whether an entity comes, goes or changes. */
    enum Change {
        ADDED,
        REMOVED,
        CHANGED
    }

    /**
     * One field before and after.
     *
     * @param field name, with the names of the records it stands in
     * @param before text of the value; null if there was none
     * @param after text of the value; null if there is none
     */
    record FieldChange(String field, String before, String after) {}
}

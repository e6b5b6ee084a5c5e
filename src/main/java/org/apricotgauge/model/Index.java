package org.apricotgauge.model;

import java.util.Collection;
import java.util.List;
import org.pcollections.HashTreePMap;
import org.pcollections.PMap;

/**
 * Entities grouped by a key they share; immutable, each change shares all that it leaves alone.
 *
 * @param <K> the shared key
 * @param <V> the entities
 */
final class Index<K, V> {
    private final PMap<K, PMap<String, V>> mGroups;

    private Index(PMap<K, PMap<String, V>> groups) {
        mGroups = groups;
    }

    static <K, V> Index<K, V> empty() {
        return new Index<>(HashTreePMap.empty());
    }

    Collection<V> get(K key) {
        PMap<String, V> group = mGroups.get(key);
        return group == null ? List.of() : group.values();
    }

    Index<K, V> plus(K key, String id, V entity) {
        PMap<String, V> group = mGroups.get(key);
        PMap<String, V> next =
                group == null ? HashTreePMap.singleton(id, entity) : group.plus(id, entity);
        return new Index<>(mGroups.plus(key, next));
    }

    Index<K, V> minus(K key, String id) {
        PMap<String, V> group = mGroups.get(key);
        if (group == null) {
            return this;
        }
        PMap<String, V> next = group.minus(id);
        return new Index<>(next.isEmpty() ? mGroups.minus(key) : mGroups.plus(key, next));
    }
}

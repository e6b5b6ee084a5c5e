package org.apricotgauge.model;

import java.util.Collection;
import java.util.List;
import org.pcollections.TreePMap;

/**
 * Entities grouped by a key they share; immutable, each change shares all that it leaves alone.
 *
 * @param <K> the shared key
 * @param <V> the entities
 */
final class Index<K extends Comparable<K>, V> {
    private final TreePMap<K, TreePMap<String, V>> mGroups;

    private Index(TreePMap<K, TreePMap<String, V>> groups) {
        mGroups = groups;
    }

    static <K extends Comparable<K>, V> Index<K, V> empty() {
        return new Index<>(TreePMap.<K, TreePMap<String, V>>empty());
    }

    Collection<V> get(K key) {
        TreePMap<String, V> group = mGroups.get(key);
        return group == null ? List.of() : group.values();
    }

    /** Returns whether the group is the very one that the other index has. */
    boolean sharesGroup(Index<K, V> other, K key) {
        return mGroups.get(key) == other.mGroups.get(key);
    }

    Index<K, V> plus(K key, String id, V entity) {
        TreePMap<String, V> group = mGroups.get(key);
        TreePMap<String, V> next =
                group == null ? TreePMap.singleton(id, entity) : group.plus(id, entity);
        return new Index<>(mGroups.plus(key, next));
    }

    Index<K, V> minus(K key, String id) {
        TreePMap<String, V> group = mGroups.get(key);
        if (group == null) {
            return this;
        }
        TreePMap<String, V> next = group.minus(id);
        return new Index<>(next.isEmpty() ? mGroups.minus(key) : mGroups.plus(key, next));
    }
}

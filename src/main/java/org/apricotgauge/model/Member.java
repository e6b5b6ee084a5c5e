package org.apricotgauge.model;

import com.fasterxml.jackson.annotation.JsonCreator;
import java.util.List;

/**
 * A customer (team or firm) whose traffic gets its fair share.
 *
 * <pre>{@code
 * Member member = new Member("stable", 1, List.of(KeyDigest.of(key)), null, new RateLimit(5, 5));
 * }</pre>
 *
 * @param id name of the member, as targets are told it
 * @param weight share relative to other members; 1 is usual
 * @param keys digests of the API keys that requests name it by; null if it has none
 * @param priority rank of its requests, before that of their routes; null for the routes'
 * @param limit most requests that it may have run; null for no bound
 */
public record Member(
        String id, int weight, List<KeyDigest> keys, Priority priority, RateLimit limit) {
    /** Stands for the member of a request that names none. */
    public static final String ANONYMOUS_ID = "anonymous";

    /** The weight of a member that the configuration does not name. */
    public static final int DEFAULT_WEIGHT = 1;

    private static final int MAX_WEIGHT = 1_000;
    private static final int MAX_KEYS = 1_000;

    /** Checks the parts. */
    @JsonCreator
    public Member {
        Checks.id("member.id", id);
        Checks.inRange("member.weight", weight, 1, MAX_WEIGHT);
        if (keys != null) {
            keys = keys.isEmpty() ? null : List.copyOf(keys);
        }
        if (keys != null) {
            Checks.inRange("size of member.keys", keys.size(), 1, MAX_KEYS);
        }
    }

    /** Creates a member without keys, rank and limit. */
    public Member(String id, int weight) {
        this(id, weight, null, null, null);
    }

    /** Returns whether it has anything but a weight. */
    public boolean hasAccessSettings() {
        return keys != null || priority != null || limit != null;
    }

    /** Returns whether it has the key. */
    public boolean holds(KeyDigest key) {
        return keys != null && keys.contains(key);
    }

    /** Returns the rank of its requests on a route. */
    public Priority priorityOr(Priority ofRoute) {
        return priority == null ? ofRoute : priority;
    }
}

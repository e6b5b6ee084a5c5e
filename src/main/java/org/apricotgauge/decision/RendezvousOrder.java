package org.apricotgauge.decision;

import com.dynatrace.hash4j.hashing.Hashing;
import java.util.Collection;
import java.util.Comparator;
import java.util.List;
import java.util.function.Function;

/**
 * An order of members that every node works out alike, whatever order it knows them in.
 *
 * <pre>{@code
 * List<Vm> order = RendezvousOrder.of("zone-a", vms, Vm::id);
 * }</pre>
 *
 * <p>A member that comes or goes leaves the order of the others as it is.
 */
public final class RendezvousOrder {
    private record Ranked<T>(T member, String name, long hash) {}

    private RendezvousOrder() {}

    /**
     * Returns the members in their order.
     *
     * @param group what the order is for; another group has another order
     * @param members the members, each once
     * @param nameOf name of a member, the same on every node
     */
    public static <T> List<T> of(String group, Collection<T> members, Function<T, String> nameOf) {
        return members.stream()
                .map(member -> ranked(group, member, nameOf.apply(member)))
                .sorted(
                        Comparator.<Ranked<T>>comparingLong(Ranked::hash)
                                .thenComparing(Ranked::name))
                .map(Ranked::member)
                .toList();
    }

    private static <T> Ranked<T> ranked(String group, T member, String name) {
        long hash = Hashing.komihash5_0().hashStream().putString(group).putString(name).getAsLong();
        return new Ranked<>(member, name, hash);
    }
}

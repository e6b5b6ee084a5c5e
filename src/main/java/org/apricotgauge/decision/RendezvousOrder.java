package org.apricotgauge.decision;

import com.dynatrace.hash4j.hashing.Hashing;
import java.util.Collection;
import java.util.Comparator;
import java.util.List;
import java.util.function.Function;

/**
 * Orders elements by rendezvous hashing, so that every node computes the same order.
 *
 * <pre>{@code
 * List<Vm> order = RendezvousOrder.of("zone-a", vms, Vm::id);
 * }</pre>
 *
 * <p>Adding or removing an element does not change the relative order of the others.
 */
public final class RendezvousOrder {
    private record Ranked<T>(T element, String name, long hash) {}

    private RendezvousOrder() {}

    /**
     * Returns the elements in rendezvous order, which does not depend on the order passed in.
     *
     * @param group name of the order; different groups have different orders
     * @param elements the elements, without duplicates
     * @param nameOf returns the name of an element, which must be the same on every node
     */
    public static <T> List<T> of(String group, Collection<T> elements, Function<T, String> nameOf) {
        return elements.stream()
                .map(element -> ranked(group, element, nameOf.apply(element)))
                .sorted(
                        Comparator.<Ranked<T>>comparingLong(Ranked::hash)
                                .thenComparing(Ranked::name))
                .map(Ranked::element)
                .toList();
    }

    private static <T> Ranked<T> ranked(String group, T element, String name) {
        long hash = Hashing.komihash5_0().hashStream().putString(group).putString(name).getAsLong();
        return new Ranked<>(element, name, hash);
    }
}

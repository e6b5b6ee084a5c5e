package org.apricotgauge.decision;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Random;
import java.util.function.Function;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;

class RendezvousOrderTest {
    private static final List<String> ELEMENTS =
            IntStream.range(0, 50).mapToObj(i -> "vm" + i).toList();

    private static List<String> orderOf(String group, List<String> members) {
        return RendezvousOrder.of(group, members, Function.identity());
    }

    @Test
    void doesNotDependOnTheInputOrder() {
        List<String> shuffled = new ArrayList<>(ELEMENTS);
        Collections.shuffle(shuffled, new Random(1));

        assertThat(orderOf("a", shuffled)).isEqualTo(orderOf("a", ELEMENTS));
        assertThat(orderOf("b", ELEMENTS)).isNotEqualTo(orderOf("a", ELEMENTS));
    }

    @Test
    void removingAnElementKeepsTheOrderOfTheOthers() {
        List<String> order = orderOf("a", ELEMENTS);
        List<String> remaining = new ArrayList<>(ELEMENTS);
        remaining.remove(order.get(0));

        assertThat(orderOf("a", remaining)).isEqualTo(order.subList(1, order.size()));
    }
}

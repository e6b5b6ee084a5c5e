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
    private static final List<String> MEMBERS =
            IntStream.range(0, 50).mapToObj(i -> "vm" + i).toList();

    private static List<String> orderOf(String group, List<String> members) {
        return RendezvousOrder.of(group, members, Function.identity());
    }

    @Test
    void doesNotDependOnTheInputOrder() {
        List<String> shuffled = new ArrayList<>(MEMBERS);
        Collections.shuffle(shuffled, new Random(1));

        assertThat(orderOf("a", shuffled)).isEqualTo(orderOf("a", MEMBERS));
        assertThat(orderOf("b", MEMBERS)).isNotEqualTo(orderOf("a", MEMBERS));
    }

    @Test
    void removingAMemberKeepsTheOrderOfTheOthers() {
        List<String> order = orderOf("a", MEMBERS);
        List<String> remaining = new ArrayList<>(MEMBERS);
        remaining.remove(order.get(0));

        assertThat(orderOf("a", remaining)).isEqualTo(order.subList(1, order.size()));
    }
}

package org.apricotgauge.decision.gossip;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import java.util.function.Consumer;
import org.apricotgauge.model.Vm;

/** State shared by the components of one node's state machine. */
record GossipContext(
        Vm self,
        GossipSettings settings,
        LinkTable links,
        SplittableRandom random,
        Consumer<GossipEvent> events) {

    void count(GossipEvent event) {
        events.accept(event);
    }

    /** Returns a random choice, or null if there are none. */
    <T> T pick(List<T> choices) {
        return choices.isEmpty() ? null : choices.get(random.nextInt(choices.size()));
    }

    /** Returns at most {@code count} distinct choices. */
    <T> List<T> sample(List<T> choices, int count) {
        if (choices.size() <= count) {
            return choices;
        }
        int start = random.nextInt(choices.size());
        int step = 1 + choices.size() / count;
        List<T> sample = new ArrayList<>(count);
        for (int i = 0; sample.size() < count && i < count; i++) {
            T choice = choices.get((int) ((start + (long) i * step) % choices.size()));
            if (!sample.contains(choice)) {
                sample.add(choice);
            }
        }
        return sample;
    }
}

package org.apricotgauge.operator.timeline;

import java.time.Instant;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.Combinators;
import org.apricotgauge.event.Cause;
import org.apricotgauge.event.Event;
import org.apricotgauge.event.EventId;
import org.apricotgauge.event.EventPage;
import org.apricotgauge.event.EventRing;
import org.apricotgauge.event.HybridClock;
import org.apricotgauge.event.VmLeaving;
import org.apricotgauge.model.Address;
import org.apricotgauge.operator.FleetClient;
import org.apricotgauge.operator.NodeAnswer;

/** Nodes with skewed wall clocks that tell each other of events, and who knows of what. */
final class SkewedFleet {
    static final int NODES = 4;
    private static final long START_MILLIS = 1_700_000_000_000L;

    /** An event at a node, after its clock jumped and it heard of the latest event of another. */
    record Step(int node, int heardFrom, int jumpMillis) {}

    private final long[] mWallMillis = new long[NODES];
    private final HybridClock[] mClocks = new HybridClock[NODES];
    private final EventRing[] mRings = new EventRing[NODES];
    private final Event[] mLatest = new Event[NODES];
    private final Map<EventId, long[]> mVectors = new HashMap<>();
    private final boolean mIsCauseNamed;

    SkewedFleet(long maxDriftMillis, boolean isCauseNamed) {
        mIsCauseNamed = isCauseNamed;
        for (int i = 0; i < NODES; i++) {
            int node = i;
            mWallMillis[i] = START_MILLIS + i * 10_000L;
            mClocks[i] =
                    new HybridClock(() -> Instant.ofEpochMilli(mWallMillis[node]), maxDriftMillis);
            mRings[i] = new EventRing("vm-" + i, 1, 1_000, mClocks[i]);
        }
    }

    static Arbitrary<List<Step>> steps() {
        Arbitrary<Integer> node = Arbitraries.integers().between(0, NODES - 1);
        Arbitrary<Integer> jump = Arbitraries.integers().between(-60_000, 60_000);
        return Combinators.combine(node, node, jump).as(Step::new).list().ofMaxSize(30);
    }

    void run(Step step) {
        mWallMillis[step.node()] += step.jumpMillis();
        long[] vector = new long[NODES];
        Event heard = mLatest[step.heardFrom()];
        merge(vector, mLatest[step.node()]);
        merge(vector, heard);
        vector[step.node()]++;
        if (heard != null) {
            mClocks[step.node()].observe(heard.hlc());
        }
        Cause cause = heard != null && mIsCauseNamed ? new Cause.ByEvent(heard.id()) : Cause.none();
        EventId id = mRings[step.node()].record(new VmLeaving("x", "peer"), cause);
        mLatest[step.node()] = mRings[step.node()].read(id.sequence() - 1, 1).events().get(0);
        mVectors.put(id, vector);
    }

    List<Event> events() {
        List<Event> events = new ArrayList<>();
        for (EventRing ring : mRings) {
            events.addAll(ring.read(0, 1_000).events());
        }
        return events;
    }

    boolean happenedBefore(Event cause, Event effect) {
        int node = Integer.parseInt(cause.id().node().substring("vm-".length()));
        long[] seen = mVectors.get(effect.id());
        return !cause.equals(effect) && mVectors.get(cause.id())[node] <= seen[node];
    }

    /** Returns the first pair in the list whose effect comes first, or the empty text. */
    String firstFault(List<Event> ordered) {
        for (int i = 0; i < ordered.size(); i++) {
            for (int k = i + 1; k < ordered.size(); k++) {
                if (happenedBefore(ordered.get(k), ordered.get(i))) {
                    return ordered.get(i).id() + " stands before its cause " + ordered.get(k).id();
                }
            }
        }
        return "";
    }

    List<Address> addresses() {
        List<Address> addresses = new ArrayList<>();
        for (int i = 0; i < NODES; i++) {
            addresses.add(new Address("vm", i + 1));
        }
        return addresses;
    }

    /** Answers as node {@code port - 1} does; between two nodes, more of the steps may happen. */
    TimelineReader.Source source(Runnable betweenNodes) {
        return questions -> {
            List<NodeAnswer<EventPage>> answers = new ArrayList<>();
            for (FleetClient.Question question : questions) {
                String path = question.path();
                long since = Long.parseLong(path.replaceAll(".*since=(\\d+).*", "$1"));
                EventRing ring = mRings[question.node().port() - 1];
                answers.add(new NodeAnswer.Answered<>(question.node(), ring.read(since, 3)));
                betweenNodes.run();
            }
            return answers;
        };
    }

    private void merge(long[] vector, Event heard) {
        for (int i = 0; heard != null && i < NODES; i++) {
            vector[i] = Math.max(vector[i], mVectors.get(heard.id())[i]);
        }
    }
}

package org.apricotgauge.operator.timeline;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.apricotgauge.event.Event;
import org.apricotgauge.event.EventPage;
import org.apricotgauge.event.HlcTimestamp;
import org.apricotgauge.model.Address;
import org.apricotgauge.operator.FleetClient;
import org.apricotgauge.operator.NodeAnswer;

/**
 * Fetches what is new at every node, round by round; confined to one thread.
 *
 * <p>In one round each node is asked until its page is complete, or the bound on pages is reached.
 */
final class TimelineReader {
    private static final int PAGE_LIMIT = 500;
    private static final int MAX_PAGES = 32;

    /** Asks several nodes for pages of events; an interface so that tests need no sockets. */
    @FunctionalInterface
    interface Source {
        List<NodeAnswer<EventPage>> ask(List<FleetClient.Question> questions)
                throws InterruptedException;
    }

    /** Where reading of a node stands; while it has not begun, the incarnation is negative. */
    private record Cursor(long incarnation, long since) {
        static final Cursor START = new Cursor(-1, 0);

        boolean isStart() {
            return incarnation < 0;
        }
    }

    /**
     * What a round brought.
     *
     * @param events new events, in no order
     * @param gaps nodes that did not answer, and events lost
     * @param settled every later event of the nodes that answered has a greater clock reading;
     *     empty if no node answered in full
     */
    record Round(List<Event> events, List<TimelineGap> gaps, Optional<HlcTimestamp> settled) {}

    private final Source mSource;
    private final int mLastEvents;
    private final Map<Address, Cursor> mCursors = new LinkedHashMap<>();

    /**
     * Creates a reader.
     *
     * @param source answers the questions
     * @param nodes administration addresses
     * @param lastEvents most events of a node to begin with; what is older is left out, since at
     *     thousands of nodes all of it does not fit in memory
     */
    TimelineReader(Source source, List<Address> nodes, int lastEvents) {
        mSource = source;
        mLastEvents = lastEvents;
        nodes.forEach(node -> mCursors.put(node, Cursor.START));
    }

    Round read() throws InterruptedException {
        RoundBuilder round = new RoundBuilder();
        List<Address> open = List.copyOf(mCursors.keySet());
        for (int pages = 0; pages < MAX_PAGES && !open.isEmpty(); pages++) {
            List<FleetClient.Question> questions = open.stream().map(this::question).toList();
            List<Address> incomplete = new ArrayList<>();
            for (NodeAnswer<EventPage> answer : mSource.ask(questions)) {
                if (!take(answer, round)) {
                    incomplete.add(answer.node());
                }
            }
            open = incomplete;
        }
        return round.build();
    }

    /** The first question to a node only finds out where its newest event is. */
    private FleetClient.Question question(Address node) {
        Cursor cursor = mCursors.get(node);
        return FleetClient.events(node, cursor.since(), cursor.isStart() ? 1 : PAGE_LIMIT);
    }

    /** Takes in one answer, and returns whether the node is done for this round. */
    private boolean take(NodeAnswer<EventPage> answer, RoundBuilder round) {
        if (answer instanceof NodeAnswer.Silent<EventPage> silent) {
            round.mGaps.add(new TimelineGap.NodeSilent(silent.node(), silent.reason()));
            return true;
        }
        EventPage page = ((NodeAnswer.Answered<EventPage>) answer).value();
        if (mCursors.get(answer.node()).incarnation() != page.incarnation()) {
            // The reading begins, or the node was restarted: its numbers begin anew then, and the
            // one asked for means nothing.
            long since = Math.max(0, page.lastSequence() - mLastEvents);
            mCursors.put(answer.node(), new Cursor(page.incarnation(), since));
            return false;
        }
        mCursors.put(answer.node(), new Cursor(page.incarnation(), page.nextSince()));
        round.mEvents.addAll(page.events());
        if (page.lost() > 0) {
            round.mGaps.add(new TimelineGap.EventsLost(answer.node(), page.lost()));
        }
        if (page.isComplete()) {
            round.mReadAt.add(page.readAt());
        }
        return page.isComplete();
    }

    private static final class RoundBuilder {
        private final List<Event> mEvents = new ArrayList<>();
        private final List<TimelineGap> mGaps = new ArrayList<>();
        private final List<HlcTimestamp> mReadAt = new ArrayList<>();

        Round build() {
            return new Round(
                    List.copyOf(mEvents),
                    List.copyOf(mGaps),
                    mReadAt.stream().min(HlcTimestamp::compareTo));
        }
    }
}

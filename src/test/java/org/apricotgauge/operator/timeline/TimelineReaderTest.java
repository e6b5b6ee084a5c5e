package org.apricotgauge.operator.timeline;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.apricotgauge.event.Cause;
import org.apricotgauge.event.Event;
import org.apricotgauge.event.EventId;
import org.apricotgauge.event.EventPage;
import org.apricotgauge.event.HlcTimestamp;
import org.apricotgauge.event.TargetEjected;
import org.apricotgauge.event.TargetReadmitted;
import org.apricotgauge.event.VersionInForce;
import org.apricotgauge.model.Address;
import org.apricotgauge.operator.FleetClient;
import org.apricotgauge.operator.NodeAnswer;
import org.junit.jupiter.api.Test;

class TimelineReaderTest {
    private static final Address NODE = new Address("127.0.0.1", 1);
    private static final HlcTimestamp READ_AT = new HlcTimestamp(100, 0);

    private final List<String> mAsked = new ArrayList<>();
    private final List<NodeAnswer<EventPage>> mAnswers = new ArrayList<>();
    private final TimelineReader mReader = new TimelineReader(this::answer, List.of(NODE), 3);

    /** A restarted node counts from 1 again; asked with the old number it would seem to be idle. */
    @Test
    void restartedNodeIsReadFromItsFirstEvent() throws InterruptedException {
        mAnswers.add(page(1, 0, 2, event(1, 1)));
        mAnswers.add(page(1, 0, 2, event(1, 1), event(1, 2)));
        mAnswers.add(page(9, 0, 1));
        mAnswers.add(page(9, 0, 1, event(9, 1)));

        assertThat(mReader.read().events()).hasSize(2);
        assertThat(mReader.read().events()).containsExactly(event(9, 1));
        assertThat(mAsked)
                .containsExactly(
                        "/v1/events?since=0&limit=1",
                        "/v1/events?since=0&limit=500",
                        "/v1/events?since=2&limit=500",
                        "/v1/events?since=0&limit=500");
    }

    @Test
    void silenceAndLossesAreTold() throws InterruptedException {
        mAnswers.add(new NodeAnswer.Silent<>(NODE, "refused"));
        mAnswers.add(page(1, 4, 5, event(1, 5)));
        mAnswers.add(page(1, 2, 5, event(1, 5)));

        TimelineReader.Round silent = mReader.read();
        assertThat(silent.gaps()).containsExactly(new TimelineGap.NodeSilent(NODE, "refused"));
        assertThat(silent.settled()).isEmpty();
        TimelineReader.Round lossy = mReader.read();
        assertThat(mAsked).last().isEqualTo("/v1/events?since=2&limit=500");
        assertThat(lossy.gaps()).containsExactly(new TimelineGap.EventsLost(NODE, 2));
        assertThat(lossy.settled()).contains(READ_AT);
    }

    @Test
    void eventOfANodeFarBehindIsHeldNoLongerThanTheBoundAndMarkedLate() {
        TimelineFilter all =
                new TimelineFilter(Optional.empty(), Optional.empty(), Optional.empty(), List.of());
        LiveTimeline live = new LiveTimeline(50, all);
        Event ahead = event(1, 7);
        Optional<HlcTimestamp> behind = Optional.of(new HlcTimestamp(1, 0));

        assertThat(live.add(round(behind, ahead), 0)).isEmpty();
        assertThat(live.add(round(behind), 49)).isEmpty();
        assertThat(live.add(round(behind), 50)).containsExactly(new TimelineEvent(ahead, false));
        assertThat(live.add(round(Optional.of(READ_AT), event(1, 3)), 60))
                .containsExactly(new TimelineEvent(event(1, 3), true));
    }

    @Test
    void filterShowsWhatLedToAnEventAndWhatItLedTo() {
        EventId version = new EventId("a", 1, 1);
        EventId ejected = new EventId("b", 1, 1);
        EventId readmitted = new EventId("b", 1, 2);
        List<Event> events =
                List.of(
                        new Event(version, at(1), 1, Cause.none(), new VersionInForce(1, "d", 1)),
                        new Event(
                                ejected,
                                at(2),
                                2,
                                new Cause.ByEvent(version),
                                new TargetEjected("s", "t", "why")),
                        new Event(
                                readmitted,
                                at(3),
                                3,
                                new Cause.ByRequest("r"),
                                new TargetReadmitted("s", "u", "why")));

        assertThat(filter("t", null).pick(events)).containsExactlyInAnyOrder(version, ejected);
        assertThat(filter(null, "r").pick(events)).containsExactly(readmitted);
        assertThat(filter("t", "r").pick(events)).isEmpty();
        assertThat(filter(null, null).pick(events)).hasSize(3);
    }

    private static TimelineFilter filter(String target, String request) {
        return new TimelineFilter(
                Optional.empty(),
                Optional.ofNullable(target),
                Optional.ofNullable(request),
                List.of());
    }

    private static HlcTimestamp at(long millis) {
        return new HlcTimestamp(millis, 0);
    }

    private static TimelineReader.Round round(Optional<HlcTimestamp> settled, Event... events) {
        return new TimelineReader.Round(List.of(events), List.of(), settled);
    }

    private static Event event(long incarnation, long sequence) {
        return new Event(
                new EventId("vm-1", incarnation, sequence),
                at(sequence),
                sequence,
                Cause.none(),
                new VersionInForce(sequence, "d", sequence));
    }

    private static NodeAnswer<EventPage> page(
            long incarnation, long lost, long last, Event... events) {
        long next = events.length == 0 ? last : events[events.length - 1].id().sequence();
        EventPage page =
                new EventPage("vm-1", incarnation, READ_AT, lost, next, last, List.of(events));
        return new NodeAnswer.Answered<>(NODE, page);
    }

    private List<NodeAnswer<EventPage>> answer(List<FleetClient.Question> questions) {
        mAsked.add(questions.get(0).path());
        return List.of(mAnswers.remove(0));
    }
}

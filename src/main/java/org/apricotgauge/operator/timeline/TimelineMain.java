package org.apricotgauge.operator.timeline;

import java.io.IOException;
import java.io.PrintStream;
import java.util.Collection;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import org.apricotgauge.cli.ExitCode;
import org.apricotgauge.event.Event;
import org.apricotgauge.event.EventId;
import org.apricotgauge.log.Logs;
import org.apricotgauge.model.Address;
import org.apricotgauge.operator.FleetClient;
import org.apricotgauge.time.Ticker;

/**
 * The program {@code apricotgauge-timeline}.
 *
 * <pre>{@code
 * bin/apricotgauge-timeline --nodes 10.0.0.1:8083,10.0.0.2:8083 --target t7
 * }</pre>
 *
 * <p>Exits with 0 if the time line is whole, with 1 if a node did not answer or events were lost.
 */
public final class TimelineMain {

    private TimelineMain() {}

    /** Starts the program. */
    public static void main(String[] args) {
        TimelineSettings.command()
                .runAndExit(args, settings -> run(settings, System.out, Ticker.system()));
    }

    static ExitCode run(TimelineSettings settings, PrintStream out, Ticker ticker)
            throws IOException, InterruptedException {
        Logs.configure(settings.log());
        List<Address> nodes = settings.fleet().allNodes();
        try (FleetClient client = FleetClient.start(settings.fleet().timeoutMillis())) {
            TimelineReader reader =
                    new TimelineReader(client::events, nodes, settings.lastEvents());
            return settings.fleet().isFollowing()
                    ? follow(settings, reader, out, ticker)
                    : once(settings, reader, out);
        }
    }

    private static ExitCode once(TimelineSettings settings, TimelineReader reader, PrintStream out)
            throws InterruptedException {
        // A cause may be fetched after its effect, as nodes are asked one after another. Whatever
        // led to an event of the first round was recorded before the second began.
        TimelineReader.Round first = reader.read();
        TimelineReader.Round second = reader.read();
        Timeline timeline = whole(settings.filter(), first, second);
        out.print(TimelineWriter.of(settings.format()).write(timeline));
        out.flush();
        return timeline.gaps().isEmpty() ? ExitCode.OK : ExitCode.NEGATIVE;
    }

    private static Timeline whole(
            TimelineFilter filter, TimelineReader.Round first, TimelineReader.Round second) {
        Set<Event> events = new LinkedHashSet<>(first.events());
        events.addAll(second.events());
        Set<TimelineGap> gaps = new LinkedHashSet<>(first.gaps());
        gaps.addAll(second.gaps());
        return new Timeline(picked(filter, events), List.copyOf(gaps));
    }

    private static List<TimelineEvent> picked(TimelineFilter filter, Collection<Event> events) {
        Set<EventId> ids = filter.pick(events);
        return TimelineMerge.order(events).stream()
                .filter(event -> ids.contains(event.id()))
                .map(event -> new TimelineEvent(event, false))
                .toList();
    }

    private static ExitCode follow(
            TimelineSettings settings, TimelineReader reader, PrintStream out, Ticker ticker)
            throws InterruptedException {
        LiveTimeline live = new LiveTimeline(settings.settleMillis(), settings.filter());
        GapChanges gaps = new GapChanges();
        TimelineWriter writer = TimelineWriter.of(settings.format());
        while (!out.checkError()) {
            TimelineReader.Round round = reader.read();
            List<TimelineEvent> events = live.add(round, ticker.millis());
            out.print(writer.write(new Timeline(events, gaps.news(round.gaps()))));
            out.flush();
            Thread.sleep(settings.fleet().pollMillis());
        }
        return ExitCode.OK;
    }
}

package org.apricotgauge.operator.watch;

import java.io.IOException;
import java.io.PrintStream;
import java.util.List;
import org.apricotgauge.cli.ExitCode;
import org.apricotgauge.decision.effect.Effect;
import org.apricotgauge.log.Logs;
import org.apricotgauge.model.Address;
import org.apricotgauge.operator.FleetClient;

/**
 * The program {@code apricotgauge-watch}.
 *
 * <pre>{@code
 * bin/apricotgauge-watch --nodes 10.0.0.1:8083,10.0.0.2:8083 --since-version 42
 * }</pre>
 *
 * <p>With {@code --since-version} it exits with 0 if that version helped, and with 1 if not or if
 * that is undecided. Without, it exits with 0 if all nodes answered and hold one version, and with
 * 1 otherwise.
 */
public final class WatchMain {

    private WatchMain() {}

    /** Starts the program. */
    public static void main(String[] args) {
        WatchSettings.command().runAndExit(args, settings -> run(settings, System.out));
    }

    static ExitCode run(WatchSettings settings, PrintStream out)
            throws IOException, InterruptedException {
        Logs.configure(settings.log());
        List<Address> nodes = settings.fleet().allNodes();
        try (FleetClient client = FleetClient.start(settings.fleet().timeoutMillis())) {
            FleetView view = show(settings, nodes, client, out);
            while (settings.fleet().isFollowing() && !out.checkError()) {
                Thread.sleep(settings.fleet().pollMillis());
                view = show(settings, nodes, client, out);
            }
            return verdict(view);
        }
    }

    private static FleetView show(
            WatchSettings settings, List<Address> nodes, FleetClient client, PrintStream out)
            throws InterruptedException {
        FleetView view =
                FleetView.of(
                        client.statuses(nodes, settings.service()),
                        settings.service(),
                        settings.sinceVersion());
        out.print(
                settings.format() == WatchFormat.JSON
                        ? FleetText.json(view)
                        : FleetText.text(view));
        out.flush();
        return view;
    }

    private static ExitCode verdict(FleetView view) {
        boolean isPositive =
                view.change()
                        .map(change -> change.effect().verdict() == Effect.Verdict.HELPED)
                        .orElse(view.isWhole());
        return isPositive ? ExitCode.OK : ExitCode.NEGATIVE;
    }
}

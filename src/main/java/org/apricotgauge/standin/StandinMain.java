package org.apricotgauge.standin;

import org.apricotgauge.cli.CommandGroup;

/** The program {@code apricotgauge-standin}: the world around the fleet, for trials. */
public final class StandinMain {

    private StandinMain() {}

    /** Runs the program. */
    public static void main(String[] args) {
        new CommandGroup("apricotgauge-standin", "Stand-ins for the world around the fleet.")
                .with("platform", PlatformCommand.command(), PlatformCommand::run)
                .with("targets", TargetsCommand.command(), TargetsCommand::run)
                .with("predecessor", PredecessorCommand.command(), PredecessorCommand::run)
                .with("trial", TrialCommand.command(), TrialCommand::run)
                .runAndExit(args);
    }
}

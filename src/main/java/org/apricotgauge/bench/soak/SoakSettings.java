package org.apricotgauge.bench.soak;

import java.nio.file.Path;
import java.util.List;
import java.util.Optional;
import org.apricotgauge.model.Checks;

/**
 * Settings of one soak.
 *
 * @param seed seed of all that is drawn
 * @param seconds length of the load
 * @param nodes how many nodes
 * @param domains how many failure domains
 * @param callers callers of each node
 * @param burstCallers further callers of each node, which send in bursts
 * @param work what callers send
 * @param killMillis time from SIGTERM until a process that is still there is killed
 * @param classPaths class path of the build that each node runs; they are dealt out in turn
 * @param series order of the stops; absent to draw it
 * @param logs directory for the nodes' logs
 */
public record SoakSettings(
        long seed,
        int seconds,
        int nodes,
        int domains,
        int callers,
        int burstCallers,
        WorkKind work,
        long killMillis,
        List<String> classPaths,
        Optional<Series> series,
        Path logs) {
    /** Checks the parts. */
    public SoakSettings {
        Checks.inRange("seconds", seconds, 1, Integer.MAX_VALUE);
        Checks.inRange("nodes", nodes, 1, Integer.MAX_VALUE);
        Checks.inRange("domains", domains, 1, nodes);
        Checks.inRange("callers", callers, 1, Integer.MAX_VALUE);
        Checks.inRange("burstCallers", burstCallers, 0, Integer.MAX_VALUE);
        Checks.notNull("work", work);
        Checks.inRange("killMillis", killMillis, SoakFleet.STOP_MILLIS, Integer.MAX_VALUE);
        classPaths = List.copyOf(classPaths);
        Checks.notNull("series", series);
        Checks.notNull("logs", logs);
    }
}

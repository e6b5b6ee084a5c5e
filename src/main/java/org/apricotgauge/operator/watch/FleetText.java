package org.apricotgauge.operator.watch;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.json.JsonMapper;
import java.util.List;
import java.util.Locale;
import org.apricotgauge.decision.effect.Effect;
import org.apricotgauge.operator.OutcomeCounts;

/** The view of the fleet as text or JSON. */
final class FleetText {
    private static final int NAMED_NODES = 20;
    private static final JsonMapper MAPPER =
            JsonMapper.builder().addModule(OptionalAsNull.module()).build();

    private FleetText() {}

    static String json(FleetView view) {
        try {
            return MAPPER.writeValueAsString(view) + '\n';
        } catch (JsonProcessingException e) {
            throw new IllegalStateException("not written as JSON: " + e.getMessage(), e);
        }
    }

    static String text(FleetView view) {
        StringBuilder out = new StringBuilder();
        out.append(view.asked() - view.silent().size()).append(" of ").append(view.asked());
        out.append(" nodes answered\n");
        for (FleetView.SilentNode node : view.silent()) {
            line(out, "! %s did not answer: %s", node.address(), node.reason());
        }
        appendVersions(out, view);
        for (FleetView.Ejection one : view.ejections()) {
            line(out, "ejected: %s of %s, by %s", one.target(), one.service(), named(one.nodes()));
        }
        if (view.ejections().isEmpty()) {
            out.append("ejected: none\n");
        }
        line(out, "outcomes: %s", words(view.outcomes()));
        view.change().ifPresent(change -> appendChange(out, change));
        return out.toString();
    }

    private static void appendVersions(StringBuilder out, FleetView view) {
        boolean isNewest = true;
        for (FleetView.VersionAdoption one : view.adoption()) {
            String nodes = one.nodes().size() + (one.nodes().size() == 1 ? " node" : " nodes");
            String rest = isNewest ? "" : ", stragglers: " + named(one.nodes());
            line(out, "version %d: %s%s", one.version(), nodes, rest);
            isNewest = false;
        }
        for (long version : view.digestFaults()) {
            line(out, "! version %d has different digests at different nodes", version);
        }
    }

    private static void appendChange(StringBuilder out, FleetView.Change change) {
        line(out, "before version %d: %s", change.version(), words(change.before()));
        line(out, "since version %d: %s", change.version(), words(change.after()));
        Effect effect = change.effect();
        line(out, "did version %d help? %s: %s", change.version(), answer(effect), effect.reason());
    }

    private static String answer(Effect effect) {
        return switch (effect.verdict()) {
            case HELPED -> "yes";
            case HARMED -> "no, it harmed";
            case UNDECIDED -> "undecided";
        };
    }

    private static String words(OutcomeCounts counts) {
        return String.format(
                Locale.ROOT,
                "%d requests, %d answered, %d failed, %d not run, %d unknown; %d ejections",
                counts.requests(),
                counts.answered(),
                counts.failed(),
                counts.notRun(),
                counts.unknown(),
                counts.ejections());
    }

    private static String named(List<String> nodes) {
        if (nodes.size() <= NAMED_NODES) {
            return String.join(", ", nodes);
        }
        int more = nodes.size() - NAMED_NODES;
        return String.join(", ", nodes.subList(0, NAMED_NODES)) + " and " + more + " more";
    }

    private static void line(StringBuilder out, String format, Object... values) {
        out.append(String.format(Locale.ROOT, format, values)).append('\n');
    }
}

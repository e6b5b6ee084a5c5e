package org.apricotgauge.operator.review;

import java.util.List;
import org.apricotgauge.config.RefusalReason;
import org.apricotgauge.operator.review.EntityChange.Change;
import org.apricotgauge.operator.review.EntityChange.FieldChange;
import org.apricotgauge.operator.review.ServiceEffect.Capacity;

/** Writes a report for people. */
final class ReviewText {
    /** Beyond so many names a line says only how many more there are. */
    private static final int MAX_NAMES = 10;

    private final StringBuilder mText = new StringBuilder();

    private ReviewText() {}

    static String of(ReviewReport report) {
        ReviewText text = new ReviewText();
        text.head(report);
        if (report.verdict() == Verdict.ACCEPTED) {
            text.line("changes");
            report.changes().forEach(text::change);
            text.effects(report.effects());
        }
        return text.mText.toString();
    }

    private void head(ReviewReport report) {
        switch (report.verdict()) {
            case ACCEPTED ->
                    line("accepted: version %d becomes %d", report.version(), report.version() + 1);
            case REFUSED -> line("refused: version %d stays in force", report.version());
            case UNDECIDED ->
                    line(
                            "undecided: the patch needs rules version %d, use a newer release",
                            report.rulesVersionNeeded());
            default -> throw new IllegalStateException("verdict " + report.verdict());
        }
        for (RefusalReason reason : report.reasons()) {
            line("  reason: %s", reason.message());
        }
        if (!report.author().isEmpty()) {
            line("patch by %s: %s", report.author(), report.note());
        }
        line(
                "judged at position %d, version %d, digest %s",
                report.position(), report.version(), report.versionDigest());
    }

    private void change(EntityChange change) {
        String sign =
                switch (change.change()) {
                    case ADDED -> "+";
                    case REMOVED -> "-";
                    case CHANGED -> "~";
                };
        line("  %s %s %s", sign, change.kind().label(), change.id());
        for (FieldChange field : change.fields()) {
            if (change.change() == Change.ADDED) {
                line("      %s: %s", field.field(), field.after());
            } else {
                line(
                        "      %s: %s -> %s",
                        field.field(), orNone(field.before()), orNone(field.after()));
            }
        }
    }

    private void effects(Effects effects) {
        line("effects");
        effects.services().forEach(this::service);
        line(
                "  services touched: %s",
                names(effects.services().stream().map(ServiceEffect::service).toList()));
        line("  targets touched: %s", names(effects.targets()));
        line("  members touched: %s", names(effects.members()));
        line("  routes that lose all targets: %s", names(effects.routesWithoutTargets()));
        line(
                "  shares moved: %s",
                names(
                        effects.services().stream()
                                .filter(ServiceEffect::movesShare)
                                .map(ServiceEffect::service)
                                .toList()));
        if (effects.endsKeyAccess()) {
            line("  WARNING: no member has an API key any more, and every request will be allowed");
        }
        effects.services().forEach(this::warnings);
        if (!effects.routesWithoutTargets().isEmpty()) {
            line(
                    "  WARNING: requests on %d routes will be answered that none can serve them",
                    effects.routesWithoutTargets().size());
        }
    }

    private void service(ServiceEffect effect) {
        Capacity before = effect.before();
        Capacity after = effect.after();
        line("  service %s", effect.service());
        line("      targets: %s", step(before.targets(), after.targets()));
        line("      slots: %s", step(before.slots(), after.slots()));
        line("      floor in slots: %s", step(before.floorSlots(), after.floorSlots()));
        line(
                "      slots that may be ejected: %s",
                step(before.ejectableSlots(), after.ejectableSlots()));
        line(
                "      slots without its largest failure domain: %s",
                step(before.slotsWithoutLargestDomain(), after.slotsWithoutLargestDomain()));
        line(
                "      share of the fleet in percent: %s",
                step(before.fleetSharePercent(), after.fleetSharePercent()));
    }

    private void warnings(ServiceEffect effect) {
        Capacity after = effect.after();
        if (effect.losesAllTargets()) {
            line("  WARNING: service %s loses all its targets", effect.service());
            return;
        }
        if (effect.fallsBelowOldFloor()) {
            line(
                    "  WARNING: service %s keeps %d slots, its floor before the patch was %d",
                    effect.service(), after.slots(), effect.before().floorSlots());
        }
        if (after.isBelowFloorWithoutLargestDomain()) {
            line(
                    "  WARNING: service %s is below its floor when its largest failure domain is"
                            + " lost",
                    effect.service());
        }
    }

    private static String step(int before, int after) {
        return before == after ? Integer.toString(after) : before + " -> " + after;
    }

    private static String orNone(String value) {
        return value == null ? "none" : value;
    }

    private static String names(List<String> names) {
        if (names.isEmpty()) {
            return "none";
        }
        String shown = String.join(", ", names.subList(0, Math.min(MAX_NAMES, names.size())));
        return names.size() <= MAX_NAMES
                ? names.size() + " (" + shown + ')'
                : names.size() + " (" + shown + " and " + (names.size() - MAX_NAMES) + " more)";
    }

    private void line(String format, Object... arguments) {
        // A note or a reason may hold a line break, and each line of the report stands for itself.
        String text = arguments.length == 0 ? format : String.format(format, arguments);
        mText.append(text.replaceAll("\\p{Cntrl}", " ")).append('\n');
    }
}

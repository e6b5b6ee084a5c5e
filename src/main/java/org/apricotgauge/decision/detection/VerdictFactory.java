package org.apricotgauge.decision.detection;

/**
 * Makes the verdict on a target from its standing.
 *
 * <p>Ejection is soft where it can be: from half the threshold on, the weight falls with the
 * evidence, but not below four fifths, as the requests that are kept away are those that would
 * decide. A target that only the floor keeps in service gets a tenth.
 */
final class VerdictFactory {
    private static final double SUSPECT_RATIO = 0.5;
    private static final double MIN_SUSPECT_WEIGHT = 0.8;
    private static final double KEPT_BY_FLOOR_WEIGHT = 0.1;
    private static final double RAMP_START_WEIGHT = 0.25;
    private static final long RAMP_MILLIS = 10_000;
    private static final String NO_EVIDENCE = "no evidence";

    private VerdictFactory() {}

    static EjectionVerdict verdict(TargetState standing, long nowMillis) {
        Finding finding = standing.evidence().finding();
        VerdictState state = state(standing, nowMillis);
        boolean isHeld = state == VerdictState.SUSPECT && finding.isAlarm();
        return new EjectionVerdict(
                standing.targetId(),
                state,
                weight(standing, state, isHeld, nowMillis),
                standing.evidence().scope(),
                finding.nats(),
                finding.thresholdNats(),
                isHeld,
                text(standing, state, isHeld));
    }

    private static VerdictState state(TargetState standing, long nowMillis) {
        if (standing.readmission().isEjected()) {
            return standing.readmission().isProbing(nowMillis)
                    ? VerdictState.READMITTING
                    : VerdictState.EJECTED;
        }
        return standing.evidence().finding().thresholdRatio() >= SUSPECT_RATIO
                ? VerdictState.SUSPECT
                : VerdictState.HEALTHY;
    }

    private static double weight(
            TargetState standing, VerdictState state, boolean isHeld, long nowMillis) {
        if (standing.readmission().isEjected()) {
            return 0;
        }
        if (isHeld) {
            return KEPT_BY_FLOOR_WEIGHT;
        }
        double ramp = rampWeight(standing, nowMillis);
        if (state == VerdictState.HEALTHY) {
            return ramp;
        }
        double over =
                (standing.evidence().finding().thresholdRatio() - SUSPECT_RATIO)
                        / (1 - SUSPECT_RATIO);
        return ramp * (1 - over * (1 - MIN_SUSPECT_WEIGHT));
    }

    private static double rampWeight(TargetState standing, long nowMillis) {
        if (standing.readmittedMillis() == Long.MIN_VALUE) {
            return 1;
        }
        double done = (nowMillis - standing.readmittedMillis()) / (double) RAMP_MILLIS;
        return Math.min(1, RAMP_START_WEIGHT + (1 - RAMP_START_WEIGHT) * done);
    }

    private static String text(TargetState standing, VerdictState state, boolean isHeld) {
        if (state == VerdictState.HEALTHY) {
            return NO_EVIDENCE;
        }
        String text = standing.evidence().text();
        if (standing.failureKey().isDominant()) {
            text += "; most failures are of one route and member";
        }
        if (isHeld) {
            return text + "; kept in service by the floor";
        }
        return standing.readmission().isEjected()
                ? text + "; ejections in a row: " + standing.readmission().consecutiveEjections()
                : text;
    }
}

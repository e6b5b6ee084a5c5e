package org.apricotgauge.decision.detection;

/**
 * Creates the verdict on a target from its {@link TargetState}.
 *
 * <p>From half the threshold on, the weight of a target falls with the evidence, but not below four
 * fifths, as the requests that it doesn't get are those that would decide the test. A target that
 * only the floor keeps in service gets a tenth of its usual load.
 */
final class VerdictFactory {
    private static final double SUSPECT_RATIO = 0.5;
    private static final double MIN_SUSPECT_WEIGHT = 0.8;
    private static final double KEPT_BY_FLOOR_WEIGHT = 0.1;
    private static final double RAMP_START_WEIGHT = 0.25;
    private static final long RAMP_MILLIS = 10_000;
    private static final String NO_EVIDENCE = "no evidence";

    private VerdictFactory() {}

    static EjectionVerdict verdict(TargetState target, long nowMillis) {
        Finding finding = target.evidence().finding();
        VerdictState state = state(target, nowMillis);
        boolean isKeptByFloor = state == VerdictState.SUSPECT && finding.isAlarm();
        return new EjectionVerdict(
                target.targetId(),
                state,
                weight(target, state, isKeptByFloor, nowMillis),
                target.evidence().scope(),
                finding.nats(),
                finding.thresholdNats(),
                isKeptByFloor,
                text(target, state, isKeptByFloor));
    }

    private static VerdictState state(TargetState target, long nowMillis) {
        if (target.readmission().isEjected()) {
            return target.readmission().isProbing(nowMillis)
                    ? VerdictState.READMITTING
                    : VerdictState.EJECTED;
        }
        return target.evidence().finding().thresholdRatio() >= SUSPECT_RATIO
                ? VerdictState.SUSPECT
                : VerdictState.HEALTHY;
    }

    private static double weight(
            TargetState target, VerdictState state, boolean isKeptByFloor, long nowMillis) {
        if (target.readmission().isEjected()) {
            return 0;
        }
        if (isKeptByFloor) {
            return KEPT_BY_FLOOR_WEIGHT;
        }
        double ramp = rampWeight(target, nowMillis);
        if (state == VerdictState.HEALTHY) {
            return ramp;
        }
        double excess =
                (target.evidence().finding().thresholdRatio() - SUSPECT_RATIO)
                        / (1 - SUSPECT_RATIO);
        return ramp * (1 - excess * (1 - MIN_SUSPECT_WEIGHT));
    }

    private static double rampWeight(TargetState target, long nowMillis) {
        if (target.readmittedMillis() == Long.MIN_VALUE) {
            return 1;
        }
        double elapsedShare = (nowMillis - target.readmittedMillis()) / (double) RAMP_MILLIS;
        return Math.min(1, RAMP_START_WEIGHT + (1 - RAMP_START_WEIGHT) * elapsedShare);
    }

    private static String text(TargetState target, VerdictState state, boolean isKeptByFloor) {
        if (state == VerdictState.HEALTHY) {
            return NO_EVIDENCE;
        }
        String text = target.evidence().text();
        if (target.failureKey().isDominant()) {
            text += "; most failures are of one route and member";
        }
        if (isKeptByFloor) {
            return text + "; kept in service by the floor";
        }
        return target.readmission().isEjected()
                ? text + "; ejections in a row: " + target.readmission().consecutiveEjections()
                : text;
    }
}

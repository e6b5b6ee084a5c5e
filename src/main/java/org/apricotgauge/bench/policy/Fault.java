package org.apricotgauge.bench.policy;

/**
 * A row of the table: what goes wrong, where, and how it goes on.
 *
 * @param name what the table calls it
 * @param scope which targets it falls on
 * @param course the law of a sick target, by the time since the fault began
 * @param stationary the law that the bound is worked out for, or null where there is none
 * @param isThin whether there is hardly any traffic
 */
record Fault(String name, Scope scope, Course course, RequestLaw stationary, boolean isThin) {
    private static final long FLAP_MILLIS = 5_000;
    private static final double RAMP_MILLIS = 60_000;
    private static final double RAMP_FACTOR = 10;

    /** Where a fault falls. */
    enum Scope {
        /** On one target. */
        TARGET,
        /** On all targets of one failure domain. */
        FAILURE_DOMAIN,
        /** On every target: nobody may be ejected. */
        ALL,
        /** On the answers' way from one target to one entry. */
        PATH
    }

    /** Gives the law of a sick target at a time after the fault began. */
    @FunctionalInterface
    interface Course {
        RequestLaw at(long sinceMillis);
    }

    private static Fault steady(String name, Scope scope, RequestLaw law) {
        return new Fault(name, scope, since -> law, law, false);
    }

    private static RequestLaw failing(double probability) {
        return new RequestLaw(probability, 0, 1);
    }

    private static RequestLaw slow(double share, double factor) {
        return new RequestLaw(RequestLaw.HEALTHY.failure(), share, factor);
    }

    /** Returns all rows. */
    static Fault[] rows() {
        RequestLaw dead = failing(1);
        return new Fault[] {
            steady("100% errors", Scope.TARGET, dead),
            steady("50% errors", Scope.TARGET, failing(0.5)),
            steady("30% errors", Scope.TARGET, failing(0.3)),
            steady("5% errors", Scope.TARGET, failing(0.05)),
            steady("3x slow", Scope.TARGET, slow(1, 3)),
            steady("10x slow", Scope.TARGET, slow(1, 10)),
            steady("10% straggle 20x", Scope.TARGET, slow(0.1, 20)),
            new Fault(
                    "flapping 5 s / 5 s",
                    Scope.TARGET,
                    since -> since / FLAP_MILLIS % 2 == 0 ? dead : RequestLaw.HEALTHY,
                    dead,
                    false),
            new Fault(
                    "ramp to 10x in 60 s",
                    Scope.TARGET,
                    since -> slow(1, 1 + (RAMP_FACTOR - 1) * Math.min(1, since / RAMP_MILLIS)),
                    null,
                    false),
            steady("one-way path", Scope.PATH, dead),
            steady("domain 3x slow", Scope.FAILURE_DOMAIN, slow(1, 3)),
            new Fault(
                    "global overload", Scope.ALL, since -> new RequestLaw(0.1, 1, 5), null, false),
            new Fault("thin, 100% errors", Scope.TARGET, since -> dead, dead, true),
        };
    }
}

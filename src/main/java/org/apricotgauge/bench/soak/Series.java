package org.apricotgauge.bench.soak;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.SplittableRandom;
import org.apricotgauge.bench.soak.Signal.Kind;

/** An order in which nodes are stopped, domain by domain. */
public enum Series {
    /** The nodes of a domain one after the other, .9 s apart. */
    STAGGERED(12_000) {
        @Override
        List<PlannedSignal> round(Round round) {
            List<PlannedSignal> signals = new ArrayList<>();
            long at = round.atMillis();
            for (int node : round.members()) {
                signals.add(PlannedSignal.stop(at, node, RESTART_MILLIS));
                at += STAGGER_MILLIS;
            }
            return signals;
        }
    },

    /** All nodes of a domain at once. */
    AT_ONCE(9_000) {
        @Override
        List<PlannedSignal> round(Round round) {
            return round.members().stream()
                    .map(node -> stop(round, round.atMillis(), node))
                    .toList();
        }
    },

    /** All nodes of a domain at once, and the next domain before they are back. */
    DOMAIN_AFTER_DOMAIN(4_500) {
        @Override
        List<PlannedSignal> round(Round round) {
            return AT_ONCE.round(round);
        }
    },

    /** The nodes of a domain and of the next one in one row, .3 to 2 s apart. */
    ROW(16_000) {
        @Override
        List<PlannedSignal> round(Round round) {
            List<Integer> row = new ArrayList<>(round.members());
            row.addAll(round.ofNextDomain().members());
            List<PlannedSignal> signals = new ArrayList<>();
            long at = round.atMillis();
            for (int node : row) {
                signals.add(stop(round, at, node));
                at += round.between(300, 2_000);
            }
            return signals;
        }
    },

    /** Nodes start again at once, and get SIGTERM again up to 3 s later, also as they start. */
    STOPPED_AGAIN(18_000) {
        @Override
        List<PlannedSignal> round(Round round) {
            return round.members().stream()
                    .map(
                            node ->
                                    new PlannedSignal(
                                            round.atMillis() + round.between(0, 2_000),
                                            node,
                                            Kind.STOP,
                                            0,
                                            0,
                                            round.between(100, 3_000)))
                    .toList();
        }
    },

    /** As {@link #STAGGERED}, with a second SIGTERM while a node stops. */
    SIGNALLED_TWICE(12_000) {
        @Override
        List<PlannedSignal> round(Round round) {
            List<PlannedSignal> signals = new ArrayList<>(STAGGERED.round(round));
            for (PlannedSignal stop : STAGGERED.round(round)) {
                long at = stop.atMillis() + round.between(50, 4_000);
                signals.add(PlannedSignal.other(at, stop.node(), Kind.STOP_AGAIN));
            }
            return signals;
        }
    },

    /** As {@link #STAGGERED}, with a SIGHUP shortly before or after each SIGTERM. */
    RELOADED(12_000) {
        @Override
        List<PlannedSignal> round(Round round) {
            List<PlannedSignal> signals = new ArrayList<>(STAGGERED.round(round));
            for (PlannedSignal stop : STAGGERED.round(round)) {
                long at = stop.atMillis() + round.between(-1_000, 1_000);
                signals.add(PlannedSignal.other(at, stop.node(), Kind.RELOAD));
            }
            return signals;
        }
    },

    /** As {@link #STAGGERED}, with processes that are paused as their SIGTERM comes. */
    PAUSED(14_000) {
        @Override
        List<PlannedSignal> round(Round round) {
            List<PlannedSignal> signals = new ArrayList<>(STAGGERED.round(round));
            for (PlannedSignal stop : STAGGERED.round(round)) {
                long length = round.between(500, 2_000);
                long at = stop.atMillis() - round.between(0, length);
                signals.add(PlannedSignal.other(at, stop.node(), Kind.PAUSE));
                signals.add(PlannedSignal.other(at + length, stop.node(), Kind.RESUME));
            }
            return signals;
        }
    },

    /** As {@link #STAGGERED}, with a SIGKILL of a node of another domain. */
    KILLED(14_000) {
        @Override
        List<PlannedSignal> round(Round round) {
            List<PlannedSignal> signals = new ArrayList<>(STAGGERED.round(round));
            List<Integer> others = round.ofNextDomain().members();
            int node = others.get(round.random().nextInt(others.size()));
            long at = round.atMillis() + round.between(0, 5_000);
            signals.add(PlannedSignal.kill(at, node, RESTART_MILLIS));
            return signals;
        }
    },

    /** Each round as another series has it. */
    VARIED(18_000) {
        @Override
        List<PlannedSignal> round(Round round) {
            return values()[round.random().nextInt(ordinal())].round(round);
        }
    },

    /** All nodes of a domain at once; each starts again at once, and all get SIGTERM again. */
    AT_ONCE_AGAIN(18_000) {
        @Override
        List<PlannedSignal> round(Round round) {
            long again = round.between(100, 2_000);
            return round.members().stream().map(node -> stopTwice(round, node, 0, again)).toList();
        }
    },

    /** All nodes of a domain at once; they start together, and all get SIGTERM again. */
    TOGETHER_AGAIN(20_000) {
        @Override
        List<PlannedSignal> round(Round round) {
            long down = TOGETHER_MILLIS + round.between(0, RESTART_MILLIS);
            long again = round.between(100, 4_000);
            return round.members().stream()
                    .map(node -> stopTwice(round, node, down, again))
                    .toList();
        }
    },

    /** All nodes of a domain at once, and all of the next one while the first still stops. */
    TWO_DOMAINS(14_000) {
        @Override
        List<PlannedSignal> round(Round round) {
            List<PlannedSignal> signals = new ArrayList<>(AT_ONCE.round(round));
            long at = round.atMillis() + round.between(500, 4_000);
            for (int node : round.ofNextDomain().members()) {
                signals.add(stop(round, at, node));
            }
            return signals;
        }
    },

    /**
     * The nodes of a domain within .6 s, with SIGHUP before and after, new versions of the
     * configuration, and targets that leave and come back.
     */
    CHANGED(14_000) {
        @Override
        List<PlannedSignal> round(Round round) {
            List<PlannedSignal> signals = new ArrayList<>();
            for (int node : round.members()) {
                long at = round.atMillis() + round.between(0, 600);
                signals.add(stop(round, at, node));
                signals.add(PlannedSignal.other(at - 300, node, Kind.RELOAD));
                signals.add(PlannedSignal.other(at + round.between(0, 2_000), node, Kind.RELOAD));
            }
            for (int node : round.ofNextDomain().members()) {
                long at = round.atMillis() + round.between(0, 3_000);
                signals.add(PlannedSignal.other(at, node, Kind.RELOAD));
                if (round.random().nextBoolean()) {
                    long leaving = round.atMillis() + round.between(0, 2_000);
                    long ready = leaving + round.between(1_000, 4_000);
                    signals.add(PlannedSignal.other(leaving, node, Kind.TARGET_LEAVING));
                    signals.add(PlannedSignal.other(ready, node, Kind.TARGET_READY));
                }
            }
            for (int change = 0; change < 3; change++) {
                long at = round.atMillis() + round.between(0, 6_000);
                signals.add(PlannedSignal.other(at, 0, Kind.CONFIGURED));
            }
            return signals;
        }
    };

    private static final long STAGGER_MILLIS = 900;
    private static final long RESTART_MILLIS = 1_000;
    private static final long MAX_RESTART_MILLIS = 3_000;

    /** A stop's time and what a process needs to end, so that all nodes are down. */
    private static final long TOGETHER_MILLIS = 6_500;

    private static final long FIRST_MILLIS = 3_000;

    private final long mRoundMillis;

    Series(long roundMillis) {
        mRoundMillis = roundMillis;
    }

    abstract List<PlannedSignal> round(Round round);

    private static PlannedSignal stop(Round round, long atMillis, int node) {
        return PlannedSignal.stop(atMillis, node, round.between(0, MAX_RESTART_MILLIS));
    }

    private static PlannedSignal stopTwice(
            Round round, int node, long downMillis, long againMillis) {
        return new PlannedSignal(round.atMillis(), node, Kind.STOP, 0, downMillis, againMillis);
    }

    /** Returns the signals of a soak, in the order of their times. */
    List<PlannedSignal> plan(int nodes, int domains, long millis, SplittableRandom random) {
        List<PlannedSignal> signals = new ArrayList<>();
        int turn = 0;
        for (long at = FIRST_MILLIS; at < millis; at += mRoundMillis) {
            signals.addAll(round(new Round(at, turn % domains, domains, nodes, random)));
            turn++;
        }
        signals.sort(Comparator.comparingLong(PlannedSignal::atMillis));
        return signals;
    }
}

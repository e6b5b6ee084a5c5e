package org.apricotgauge.bench;

import java.util.List;
import org.apricotgauge.model.Member;
import org.apricotgauge.model.Priority;

/**
 * One simulated overload of a target.
 *
 * @param slots slots of the target
 * @param load offered work as a multiple of the slots
 * @param older what the older system does at the same target
 * @param seconds simulated time
 * @param seed seed of arrivals and service times
 */
record OverloadScenario(int slots, double load, Older older, int seconds, long seed) {
    static final double MEAN_SERVICE_MICROS = 20_000;
    static final double SERVICE_SIGMA = 0.5;
    static final long SHED_MICROS = 1_000;
    static final double OLDER_PHASE_MICROS = 1_000_000;
    static final List<Member> MEMBERS =
            List.of(
                    new Member("greedy", 1),
                    new Member("m1", 1),
                    new Member("m2", 1),
                    new Member("m3", 1),
                    new Member("m4", 1));

    private static final double MODEST_DEMAND = 1.2;
    private static final int OLDER_PART = 3;

    /** What the older system does, and what the target does when all its slots are busy. */
    enum Older {
        /** It is gone. */
        ABSENT,
        /** It takes a third of the slots now and then; the target sheds what finds none free. */
        TARGET_SHEDS,
        /** It takes a third of the slots now and then; the target queues what finds none free. */
        TARGET_QUEUES
    }

    /** One Poisson stream of requests. */
    record Stream(Member member, ClassMix mix, double meanGapMicros) {
        Priority priority() {
            return mix.priority();
        }
    }

    /** How a class of requests behaves. */
    record ClassMix(Priority priority, double share, long deadlineMillis) {}

    static final List<ClassMix> CLASSES =
            List.of(
                    new ClassMix(Priority.URGENT, 0.15, 300),
                    new ClassMix(Priority.NORMAL, 0.35, 600),
                    new ClassMix(Priority.PATIENT, 0.50, 2_000));

    /**
     * Returns the streams: modest members ask for 1.2 fair shares each, the greedy for the rest.
     */
    List<Stream> streams() {
        double fair = 1.0 / MEMBERS.size();
        double modest = Math.min(fair * MODEST_DEMAND, load / MEMBERS.size());
        double greedy = load - modest * (MEMBERS.size() - 1);
        return MEMBERS.stream()
                .flatMap(
                        member -> {
                            double demand = member.id().equals("greedy") ? greedy : modest;
                            return CLASSES.stream().map(mix -> stream(member, mix, demand));
                        })
                .toList();
    }

    /** Returns how many slots the older system takes while it is busy. */
    int olderSlots() {
        return older == Older.ABSENT ? 0 : Math.max(1, slots / OLDER_PART);
    }

    private Stream stream(Member member, ClassMix mix, double demand) {
        double gapMicros = MEAN_SERVICE_MICROS / (demand * mix.share() * slots);
        return new Stream(member, mix, gapMicros);
    }
}

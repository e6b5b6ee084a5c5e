package org.apricotgauge.decision.quarantine;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.Combinators;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;

/** Merged records do not depend on the order in which records arrive nor on how often. */
class CrashRecordProperties {
    private static final long SPAN_MILLIS = 1_000;

    @Property(seed = "5029", tries = 1_000)
    void mergeIsCommutative(@ForAll("records") CrashRecord a, @ForAll("records") CrashRecord b) {
        assertThat(a.merge(b)).isEqualTo(b.merge(a));
    }

    @Property(seed = "5030", tries = 1_000)
    void mergeIsAssociative(
            @ForAll("records") CrashRecord a,
            @ForAll("records") CrashRecord b,
            @ForAll("records") CrashRecord c) {
        assertThat(a.merge(b).merge(c)).isEqualTo(a.merge(b.merge(c)));
    }

    @Property(seed = "5031", tries = 1_000)
    void mergeIsIdempotent(@ForAll("records") CrashRecord a, @ForAll("records") CrashRecord b) {
        CrashRecord once = a.merge(b);

        assertThat(once.merge(b).merge(a)).isEqualTo(once);
    }

    @Property(seed = "5032", tries = 1_000)
    void clearedCrashesStayCleared(@ForAll("records") CrashRecord a) {
        CrashRecord cleared = a.withClearedUntil(SPAN_MILLIS);

        assertThat(cleared.crashes()).isEmpty();
        assertThat(cleared.merge(a)).isEqualTo(cleared);
    }

    // Every crash has a single id and a single time, as assigned by the node that observed it.
    @Provide
    Arbitrary<CrashRecord> records() {
        Arbitrary<List<Crash>> crashes =
                Arbitraries.longs()
                        .between(1, SPAN_MILLIS)
                        .map(id -> new Crash(id, id))
                        .list()
                        .uniqueElements()
                        .ofMaxSize(12);
        Arbitrary<Long> clearedUntil =
                Arbitraries.longs().between(0, SPAN_MILLIS / 2).injectNull(0.5);
        return Combinators.combine(crashes, clearedUntil)
                .as(
                        (list, until) ->
                                until == null
                                        ? new CrashRecord(list, Long.MIN_VALUE)
                                        : new CrashRecord(list, until));
    }
}

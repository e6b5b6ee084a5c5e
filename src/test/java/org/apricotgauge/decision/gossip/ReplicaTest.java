package org.apricotgauge.decision.gossip;

import static org.assertj.core.api.Assertions.assertThat;

import org.apricotgauge.bench.ChainFold;
import org.apricotgauge.platform.LogRecord;
import org.junit.jupiter.api.Test;

class ReplicaTest {
    private static final ChainFold FOLD = new ChainFold();

    private static Replica<ChainFold.Chain> of(String... bodies) {
        Replica<ChainFold.Chain> replica = new Replica<>(FOLD);
        for (String body : bodies) {
            replica.offer(new LogRecord(replica.position() + 1, body), null);
        }
        return replica;
    }

    @Test
    void rejectsDifferentBodyAtKnownPosition() {
        // Failure: two nodes respond differently at the same version. A platform that flaps between
        // two replicas returned a different body at position 2 than the one in force locally.
        Replica<ChainFold.Chain> replica = of("a", "b");
        assertThat(replica.offer(new LogRecord(2, "other"), null))
                .isEqualTo(Replica.ApplyResult.CONFLICT);
        assertThat(replica.offer(new LogRecord(2, "b"), null)).isEqualTo(Replica.ApplyResult.KNOWN);
        assertThat(replica.relation(2, of("a", "other").digest()))
                .isEqualTo(Replica.Relation.CONFLICT);
    }

    @Test
    void rejectsNextRecordOfDivergentHistory() {
        // Failure: two nodes respond differently at the same version. A peer whose history differs
        // at position 1 sends the record at 2; folded locally, it would produce a third history
        // that no other node has.
        Replica<ChainFold.Chain> local = of("a");
        Replica<ChainFold.Chain> remote = of("other", "b");
        assertThat(local.offer(new LogRecord(2, "b"), remote.digest()))
                .isEqualTo(Replica.ApplyResult.CONFLICT);
        assertThat(local.history()).isEqualTo(of("a").history());
    }

    @Test
    void rejectsSnapshotThatIsOldOrMismatchesDigest() {
        Replica<ChainFold.Chain> replica = of("a", "b");
        Replica<ChainFold.Chain> later = of("a", "b", "c");
        assertThat(replica.adoptSnapshot(of("a").history(), of("a").digest()))
                .isEqualTo(Replica.ApplyResult.KNOWN);
        assertThat(replica.adoptSnapshot(later.history(), "forged"))
                .isEqualTo(Replica.ApplyResult.CONFLICT);
        assertThat(replica.adoptSnapshot(later.history(), later.digest()))
                .isEqualTo(Replica.ApplyResult.APPLIED);
        assertThat(replica.position()).isEqualTo(3);
    }

    @Test
    void retainsBoundedNumberOfRecords() {
        Replica<ChainFold.Chain> replica = new Replica<>(FOLD);
        int total = 3 * Replica.MAX_RETAINED;
        for (int i = 1; i <= total; i++) {
            replica.offer(new LogRecord(i, "x"), null);
        }
        assertThat(replica.retainedAfter(0, Integer.MAX_VALUE)).isEmpty();
        assertThat(replica.retainedAfter(total - Replica.MAX_RETAINED, Integer.MAX_VALUE))
                .hasSize(Replica.MAX_RETAINED);
    }
}

package org.apricotgauge.config;

import static org.apricotgauge.config.Patches.accepted;
import static org.apricotgauge.config.Patches.entry;
import static org.apricotgauge.config.Patches.putService;
import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import org.junit.jupiter.api.Test;

class CurrentHistoryTest {

    // A stale platform or a late thread hands in a history that the node has passed. Taken, callers
    // would see an accepted version rolled back.
    @Test
    void olderHistoryIsNotPutInForce() {
        ConfigHistory one = accepted(putService("lessons"));
        ConfigHistory two = one.apply(entry(2, 1, putService("bookings"))).history();
        CurrentHistory current = new CurrentHistory(one);

        assertThat(current.advance(two)).isTrue();
        assertThat(current.advance(one)).isFalse();
        assertThat(current.get()).isSameAs(two);
        assertThat(current.isConsistentWith(one)).isTrue();
    }

    // Two nodes read different entries at one position (a platform restored from a backup). Going
    // on
    // would leave the fleet with two configurations of one version, and nobody the wiser.
    @Test
    void anotherDigestAtOnePositionStopsTheProcess() {
        CurrentHistory current = new CurrentHistory(accepted(putService("lessons")));

        assertThat(current.isConsistentWith(accepted(putService("bookings")))).isFalse();
        assertThatThrownBy(() -> current.advance(accepted(putService("bookings"))))
                .isInstanceOf(IllegalStateException.class)
                .hasMessageStartingWith("one position, two digests");
    }

    @Test
    void fallingVersionStopsTheProcess() {
        CurrentHistory current = new CurrentHistory(accepted(putService("lessons")));
        ConfigHistory refused = ConfigHistory.EMPTY.apply(new LogEntry(1, "bad")).history();
        ConfigHistory further = refused.apply(new LogEntry(2, "bad")).history();

        assertThatThrownBy(() -> current.advance(further))
                .isInstanceOf(IllegalStateException.class)
                .hasMessageStartingWith("version falls");
    }

    @Test
    void anotherDigestOfOneVersionStopsTheProcess() {
        CurrentHistory current = new CurrentHistory(accepted(putService("lessons")));
        ConfigHistory other =
                accepted(putService("bookings")).apply(new LogEntry(2, "bad")).history();

        assertThatThrownBy(() -> current.advance(other))
                .isInstanceOf(IllegalStateException.class)
                .hasMessageStartingWith("one version, two digests");
    }
}

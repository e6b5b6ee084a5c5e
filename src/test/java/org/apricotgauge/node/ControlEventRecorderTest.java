package org.apricotgauge.node;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Instant;
import java.util.List;
import org.apricotgauge.config.ConfigHistory;
import org.apricotgauge.control.ConfigHistoryFold;
import org.apricotgauge.decision.gossip.WatcherElection;
import org.apricotgauge.event.Event;
import org.apricotgauge.event.EventBody;
import org.apricotgauge.event.EventRing;
import org.apricotgauge.event.HybridClock;
import org.apricotgauge.event.PatchRefused;
import org.apricotgauge.event.WatchReleased;
import org.apricotgauge.event.WatchTakenOver;
import org.apricotgauge.platform.LogRecord;
import org.junit.jupiter.api.Test;

class ControlEventRecorderTest {
    private final EventRing mRing =
            new EventRing("vm-1", 1, 64, new HybridClock(() -> Instant.ofEpochMilli(1)));
    private final ControlEventRecorder mRecorder = new ControlEventRecorder(mRing);

    @Test
    void recordsEachWatchChangeOnce() {
        mRecorder.recordRole(WatcherElection.Role.PASSIVE);
        mRecorder.recordRole(WatcherElection.Role.WATCH);
        mRecorder.recordRole(WatcherElection.Role.WATCH);
        mRecorder.recordRole(WatcherElection.Role.RETRY);
        mRecorder.recordRole(WatcherElection.Role.PASSIVE);

        assertThat(bodies())
                .containsExactly(
                        new WatchTakenOver("elected in its failure domain"),
                        new WatchReleased("platform lost"));
    }

    @Test
    void recordsRefusedEntryWithVersionAndReason() {
        String body = "{\"baseVersion\":5,\"rulesVersion\":1,\"operations\":[]}";

        new ConfigHistoryFold(mRecorder::recordRefusal)
                .apply(ConfigHistory.EMPTY, new LogRecord(1, body));

        assertThat(bodies())
                .singleElement()
                .isInstanceOfSatisfying(
                        PatchRefused.class,
                        refused -> {
                            assertThat(refused.patch()).isEqualTo("position 1");
                            assertThat(refused.appliesToVersion()).isEqualTo(5);
                            assertThat(refused.reason()).contains("the current version is 0");
                        });
    }

    private List<EventBody> bodies() {
        return mRing.read(0, 64).events().stream().map(Event::body).toList();
    }
}

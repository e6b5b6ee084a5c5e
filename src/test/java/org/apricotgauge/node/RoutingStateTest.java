package org.apricotgauge.node;

import static org.assertj.core.api.Assertions.assertThat;

import org.apricotgauge.decision.gossip.VmView;
import org.apricotgauge.model.Configuration;
import org.apricotgauge.model.DetectionOdds;
import org.apricotgauge.model.Service;
import org.apricotgauge.model.Target;
import org.apricotgauge.time.ManualTicker;
import org.junit.jupiter.api.Test;

class RoutingStateTest {
    private static final Target FIRST = new Target("t_1", "s", "vm", "here", "127.0.0.1", 1, 3);
    private static final Target NEXT = new Target("t_2", "s", "vm", "here", "127.0.0.1", 1, 3);

    private final RoutingState mState = new RoutingState("vm", "here", new ManualTicker());
    private final Configuration mWithFirst =
            Configuration.EMPTY
                    .withService(new Service("s", 70, new DetectionOdds(1, 1), 20, 100, null))
                    .withTarget(FIRST);

    /** Guards against requests to a leaving target that the platform reports as ready again. */
    @Test
    void selfReportedLeavingTargetGetsNoRequestsRegardlessOfMembership() {
        mState.configurationChanged(1, mWithFirst);
        assertThat(mState.table().acceptsRequests(FIRST)).isTrue();

        assertThat(mState.recordSelfReportedLeaving(FIRST)).isTrue();
        assertThat(mState.recordSelfReportedLeaving(FIRST)).isFalse();
        assertThat(mState.table().acceptsRequests(FIRST)).isFalse();
        mState.membersChanged(SiteMembers.of(VmView.EMPTY, ""));
        mState.configurationChanged(2, Configuration.EMPTY);
        mState.configurationChanged(3, mWithFirst);

        assertThat(mState.table().acceptsRequests(FIRST)).isFalse();
    }

    @Test
    void replacementOfLeavingTargetAcceptsRequests() {
        mState.configurationChanged(1, mWithFirst);
        mState.recordSelfReportedLeaving(FIRST);

        mState.configurationChanged(2, mWithFirst.withoutTarget("t_1").withTarget(NEXT));

        assertThat(mState.table().acceptsRequests(NEXT)).isTrue();
    }
}

package org.apricotgauge.directory;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import org.apricotgauge.model.Target;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Tests registrations that start, leave, end and return, and configuration versions. */
class SiteDirectoryTest {
    private static final PlatformTimes TIMES = new PlatformTimes(2_000, 1_500);
    private static final long KEEP_MILLIS = 1_000;

    private final SiteDirectory mDirectory = new SiteDirectory(TIMES);

    @BeforeEach
    void configure() {
        apply(new SiteChange.Configured(configuration(1)), 0);
    }

    @Test
    void leavingTargetIsRemovedWithItsRegistration() {
        apply(registered("a", false), 0);
        apply(registered("a", true), 10);

        assertThat(mDirectory.registrations())
                .extracting(Registration::leaving)
                .containsExactly(true);
        assertThat(apply(new SiteChange.Unregistered("a"), 20)).isTrue();
        assertThat(mDirectory.registrations()).isEmpty();
    }

    @Test
    void targetIsRetainedBrieflyAfterRegistrationEnds() {
        // Its registration ends without a leaving notice: it may be alive and only partitioned from
        // the platform. Without retention all targets of a service would be lost with their leases.
        apply(registered("a", false), 0);
        apply(new SiteChange.Unregistered("a"), 100);

        assertThat(mDirectory.expire(100 + KEEP_MILLIS - 1)).isFalse();
        assertThat(mDirectory.registrations()).hasSize(1);
        assertThat(mDirectory.expire(100 + KEEP_MILLIS)).isTrue();
        assertThat(mDirectory.registrations()).isEmpty();
    }

    @Test
    void targetMayRegisterAgainAfterPlatformOutage() {
        apply(registered("a", false), 0);
        mDirectory.apply(new SiteChange.Unregistered("a"), 100, 2_300);

        assertThat(mDirectory.expire(2_100)).isFalse();
        apply(registered("a", false), 2_150);

        assertThat(mDirectory.expire(60_000)).isFalse();
        assertThat(mDirectory.registrations()).hasSize(1);
    }

    @Test
    void newestTargetAtAddressReplacesEarlierOne() {
        // After a power loss a target's new process registers before the earlier registration has
        // expired. Requests for the earlier process would be refused by the new one for seconds.
        apply(registered("before", false), 0);
        apply(registered("now", false), 10);

        assertThat(mDirectory.registrations())
                .extracting(registration -> registration.target().id())
                .containsExactly("now");
    }

    @Test
    void restartUnderSameNameIsNewTarget() {
        // A target crashes and restarts within its lease, so its registration is overwritten and
        // never ends. The new process has none of the state that the fleet stores for the old one,
        // so it is a new target, and the old one is removed.
        apply(registered("a", new Target("a_1", "s", "vm", "here", "127.0.0.1", 1, 3)), 0);

        assertThat(apply(registered("a", new Target("a_2", "s", "vm", "here", "::1", 1, 3)), 10))
                .isTrue();
        assertThat(mDirectory.registrations())
                .extracting(registration -> registration.target().id())
                .containsExactly("a_2");
        apply(new SiteChange.Unregistered("a"), 20);
        mDirectory.expire(20 + KEEP_MILLIS);
        assertThat(mDirectory.registrations()).isEmpty();
    }

    @Test
    void invalidRegistrationRemovesOnlyTargetOfItsName() {
        // Another writer overwrites a registration. If the old one stayed in force, its target
        // would receive work long after it has left, since no registration describes it any more.
        apply(registered("a", new Target("a", "s", "vm", "here", "127.0.0.1", 1, 3)), 0);
        apply(registered("b", new Target("b", "s", "vm", "here", "127.0.0.1", 2, 3)), 0);

        assertThat(apply(new SiteChange.InvalidRegistration("a", "bytes that can't be read"), 10))
                .isTrue();

        assertThat(mDirectory.registrations()).extracting(Registration::name).containsExactly("b");
        assertThat(apply(new SiteChange.InvalidRegistration("other", "no address"), 11)).isFalse();
    }

    @Test
    void unknownServiceDoesNotTakeAddress() {
        apply(registered("a", new Target("a", "s", "vm", "here", "127.0.0.1", 1, 3)), 0);
        apply(registered("b", new Target("b", "unknown", "vm", "here", "127.0.0.1", 1, 3)), 10);

        assertThat(mDirectory.registrations()).extracting(Registration::name).containsExactly("a");
    }

    /** Guards against work for a leaving target whose older registration was written late. */
    /** Guards against rebuilding all tables of all nodes at each write of a target that warms. */
    @Test
    void writeOfColdTargetChangesNothingThatRequestsDependOn() {
        assertThat(apply(cold(1, 2_000, false), 0)).isTrue();
        assertThat(apply(cold(2, 1_000, false), 1_000)).isFalse();

        assertThat(mDirectory.registrations())
                .extracting(Registration::sequence)
                .containsExactly(2L);
        assertThat(apply(cold(3, 0, true), 2_000)).isTrue();
    }

    private static SiteChange cold(long sequence, long coldRemainingMillis, boolean leaving) {
        Target target = new Target("a", "s", "vm", "here", "127.0.0.1", 1, 3);
        return new SiteChange.Registered(
                new Registration("a", target, leaving, sequence, coldRemainingMillis));
    }

    @Test
    void olderWriteDoesNotUndoLeaving() {
        Target target = new Target("a", "s", "vm", "here", "127.0.0.1", 1, 3);
        Target nextProcess = new Target("a_2", "s", "vm", "here", "127.0.0.1", 1, 3);
        apply(new SiteChange.Registered(new Registration("a", target, true, 8, 0)), 0);

        assertThat(apply(new SiteChange.Registered(new Registration("a", target, false, 7, 0)), 10))
                .isFalse();
        assertThat(mDirectory.registrations())
                .extracting(Registration::leaving)
                .containsExactly(true);

        apply(new SiteChange.Registered(new Registration("a", nextProcess, false, 1, 0)), 20);
        assertThat(mDirectory.registrations())
                .extracting(Registration::leaving)
                .containsExactly(false);
    }

    /** Guards against work for a target that left, whose older registration was written late. */
    @Test
    void olderWriteDoesNotRestoreEndedTarget() {
        Target target = new Target("a", "s", "vm", "here", "127.0.0.1", 1, 3);
        Target nextProcess = new Target("a_2", "s", "vm", "here", "127.0.0.1", 1, 3);
        apply(new SiteChange.Registered(new Registration("a", target, true, 8, 0)), 0);
        apply(new SiteChange.Unregistered("a"), 10);

        assertThat(apply(new SiteChange.Registered(new Registration("a", target, false, 7, 0)), 20))
                .isFalse();
        assertThat(mDirectory.registrations()).isEmpty();

        apply(new SiteChange.Registered(new Registration("a", nextProcess, false, 1, 0)), 30);
        assertThat(mDirectory.registrations())
                .extracting(registration -> registration.target().id())
                .containsExactly("a_2");
    }

    /** Guards against a target that is retained too long because of a delayed write. */
    @Test
    void olderWriteDoesNotExtendRetention() {
        Target target = new Target("a", "s", "vm", "here", "127.0.0.1", 1, 3);
        apply(new SiteChange.Registered(new Registration("a", target, false, 8, 0)), 0);
        apply(new SiteChange.Unregistered("a"), 10);

        apply(new SiteChange.Registered(new Registration("a", target, false, 7, 0)), 20);

        assertThat(mDirectory.expire(10 + KEEP_MILLIS)).isTrue();
        assertThat(mDirectory.registrations()).isEmpty();
    }

    /** Guards against a live target that stays removed because its registration had expired. */
    @Test
    void newerWriteRestoresEndedTarget() {
        Target target = new Target("a", "s", "vm", "here", "127.0.0.1", 1, 3);
        apply(new SiteChange.Registered(new Registration("a", target, false, 7, 0)), 0);
        apply(new SiteChange.Unregistered("a"), 10);
        mDirectory.expire(10 + KEEP_MILLIS);

        apply(new SiteChange.Registered(new Registration("a", target, false, 8, 0)), 5_000);

        assertThat(mDirectory.registrations()).hasSize(1);
    }

    /** Guards against a target that lives and is never used again as its last write was lost. */
    @Test
    void olderWriteCountsOnceItsRegistrationOutlastsHeartbeats() {
        Target target = new Target("a", "s", "vm", "here", "127.0.0.1", 1, 3);
        apply(new SiteChange.Registered(new Registration("a", target, false, 3, 0)), 0);
        apply(new SiteChange.Unregistered("a"), 100);
        mDirectory.expire(100 + KEEP_MILLIS);

        apply(new SiteChange.Registered(new Registration("a", target, false, 2, 0)), 2_000);

        long countsAtMillis = 2_000 + TIMES.maxEndedRegistrationMillis();
        assertThat(mDirectory.expire(countsAtMillis - 1)).isFalse();
        assertThat(mDirectory.expire(countsAtMillis)).isTrue();
        assertThat(mDirectory.registrations()).hasSize(1);
    }

    /** Guards against a target that ended and is used again by a write that came after its end. */
    @Test
    void olderWriteThatEndsAgainNeverCounts() {
        Target target = new Target("a", "s", "vm", "here", "127.0.0.1", 1, 3);
        apply(new SiteChange.Registered(new Registration("a", target, false, 3, 0)), 0);
        apply(new SiteChange.Unregistered("a"), 100);
        mDirectory.expire(100 + KEEP_MILLIS);

        apply(new SiteChange.Registered(new Registration("a", target, false, 2, 0)), 2_000);
        apply(new SiteChange.Unregistered("a"), 6_500);

        assertThat(mDirectory.expire(60_000)).isFalse();
        assertThat(mDirectory.registrations()).isEmpty();
    }

    @Test
    void ignoresOlderVersion() {
        apply(new SiteChange.Configured(configuration(7)), 0);

        assertThat(apply(new SiteChange.Configured(configuration(5)), 1)).isFalse();
        assertThat(mDirectory.configuration().version()).isEqualTo(7);
    }

    private boolean apply(SiteChange change, long nowMillis) {
        return mDirectory.apply(change, nowMillis, nowMillis + KEEP_MILLIS);
    }

    private static SiteChange registered(String id, boolean leaving) {
        Target target = new Target(id, "s", "vm", "here", "127.0.0.1", 1, 3);
        return new SiteChange.Registered(new Registration(id, target, leaving, 1, 0));
    }

    private static SiteChange registered(String name, Target target) {
        return new SiteChange.Registered(new Registration(name, target, false, 1, 0));
    }

    private static PublishedConfiguration configuration(long version) {
        return new PublishedConfiguration(version, 0, List.of("s"), List.of(), 1_000);
    }
}

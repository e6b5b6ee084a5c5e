package org.apricotgauge.directory;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import org.apricotgauge.directory.SiteDirectory.LapseDoubt;
import org.apricotgauge.model.Target;
import org.junit.jupiter.api.Test;

/** Targets that register, leave, vanish and come back; versions of the configuration. */
class SiteDirectoryTest {
    private final SiteDirectory mDirectory = new SiteDirectory();

    @Test
    void aTargetThatSaysItLeavesIsLeavingAtOnceAndGoneWithItsEntry() {
        take(registered("a", false), 0);
        take(registered("a", true), 10);

        assertThat(mDirectory.registrations())
                .extracting(Registration::leaving)
                .containsExactly(true);
        assertThat(take(new SiteChange.Unregistered("a"), 20)).isTrue();
        assertThat(mDirectory.registrations()).isEmpty();
    }

    @Test
    void aTargetThatVanishesServesOnForAMoment() {
        // Its entry ends without a word: it may be alive and only cut off from the platform.
        // Dropped at once, all targets of a service would be lost with the platform's leases.
        take(registered("a", false), 0);
        take(new SiteChange.Unregistered("a"), 100);

        assertThat(mDirectory.expire(100 + SiteDirectory.VANISHED_MILLIS - 1)).isFalse();
        assertThat(mDirectory.registrations()).hasSize(1);
        assertThat(mDirectory.expire(100 + SiteDirectory.VANISHED_MILLIS)).isTrue();
        assertThat(mDirectory.registrations()).isEmpty();
    }

    @Test
    void afterThePlatformWasAwayALivingTargetHasTimeToRegisterAnew() {
        take(registered("a", false), 0);
        mDirectory.take(
                List.of(new SiteChange.Unregistered("a")), 100, LapseDoubt.PLATFORM_WAS_AWAY);

        assertThat(mDirectory.expire(2_100)).isFalse();
        take(registered("a", false), 2_150);

        assertThat(mDirectory.expire(60_000)).isFalse();
        assertThat(mDirectory.registrations()).hasSize(1);
    }

    @Test
    void theNewestTargetAtAnAddressReplacesTheOneBefore() {
        // After a loss of power a target's new run registers while the entry of the run before has
        // not run out: requests meant for that one would be refused by the new one, for seconds.
        take(registered("before", false), 0);
        take(registered("now", false), 10);

        assertThat(mDirectory.registrations())
                .extracting(one -> one.target().id())
                .containsExactly("now");
    }

    @Test
    void anOlderVersionNeverComesBack() {
        take(new SiteChange.Configured(configuration(7)), 0);

        assertThat(take(new SiteChange.Configured(configuration(5)), 1)).isFalse();
        assertThat(mDirectory.configuration().version()).isEqualTo(7);
    }

    private boolean take(SiteChange change, long nowMillis) {
        return mDirectory.take(List.of(change), nowMillis, LapseDoubt.NONE);
    }

    private static SiteChange registered(String id, boolean leaving) {
        Target target = new Target(id, "s", "vm", "here", "127.0.0.1", 1, 3);
        return new SiteChange.Registered(new Registration(target, leaving, 0));
    }

    private static PublishedConfiguration configuration(long version) {
        return new PublishedConfiguration(version, 0, List.of("s"), List.of(), 1_000);
    }
}

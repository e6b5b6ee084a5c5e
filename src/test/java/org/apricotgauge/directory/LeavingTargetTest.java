package org.apricotgauge.directory;

import static org.assertj.core.api.Assertions.assertThat;

import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.SplittableRandom;
import java.util.function.LongUnaryOperator;
import java.util.random.RandomGenerator;
import org.apricotgauge.model.SiteView;
import org.apricotgauge.model.Target;
import org.apricotgauge.time.ManualTicker;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/**
 * Whether a node knows in time that a target leaves or is gone.
 *
 * <p>The incident: callers' requests reached a target up to 2.2 s and more after the platform had
 * its word that it leaves; it takes them for 2 s. Some seconds before, all open connections had
 * gone silent. The nodes' logs showed two causes, each enough: views of the site 11 s old at entry
 * and guard alike, since every watch waited on a dead connection; and, once the nodes had given
 * those watches up, registrations that ended and were kept for 2.2 s more as if the platform had
 * been away, though it had answered all new calls.
 */
class LeavingTargetTest {
    /** How long a target takes requests after the platform has its word. */
    private static final long SERVES_ON_MILLIS = 2_000;

    /** How often targets write; three heartbeats that are missing end a registration. */
    private static final long HEARTBEAT_MILLIS = 1_500;

    /** What a request takes from the last look at the table to the target, with a late timer. */
    private static final long LAST_HOP_LATENCY_MILLIS = 100;

    private static final long TICK_MILLIS = 100;

    /** What an answer takes on a link that a large configuration has filled. */
    private static final long SLOW_ANSWER_LATENCY_MILLIS = 600;

    /** What a page takes on a link that is full for longer than two heartbeats. */
    private static final long SATURATED_LINK_LATENCY_MILLIS = 3_500;

    /** What another guard's word takes on such a link, and how old its view is. */
    private static final long PEER_VIEW_LATENCY_MILLIS = 1_200;

    private static final long PEER_VIEW_AGE_MILLIS = 300;

    private final ManualTicker mTicker = new ManualTicker();
    private final FakePlatform mPlatform = new FakePlatform(mTicker);
    private SiteDirectory mSite;
    private DirectoryFeed mFeed =
            feed(new PlatformTimes(SERVES_ON_MILLIS, HEARTBEAT_MILLIS), new SplittableRandom(1));

    private DirectoryFeed feed(PlatformTimes times, RandomGenerator random) {
        return new DirectoryFeed(
                new DirectoryFeed.Parts(
                        mPlatform,
                        peer -> new FakePlatform(mTicker),
                        LeavingTargetTest::decode,
                        Runnable::run,
                        mTicker,
                        mTicker::millis,
                        random,
                        times),
                site -> mSite = site);
    }

    @BeforeEach
    void start() {
        mPlatform.publish("config", new byte[] {1});
        mPlatform.publish("a", bytes("ready"));
        mPlatform.publish("b", bytes("ready"));
        mPlatform.publish("c", bytes("ready"));
        mFeed.start();
        advance(5_000);
        assertThat(acceptingTargets()).containsExactly("a", "b", "c");
    }

    @Test
    void leavingTargetIsDetectedInTimeDespiteSilentWatch() {
        // The open connection to the platform goes silent without a reset; new ones work. No hop
        // brings a hint: all other nodes are in the same state. Then a target says that it leaves.
        mPlatform.dropWatches();
        advance(4_000);

        mPlatform.publish("a", bytes("leaving"));
        advance(SERVES_ON_MILLIS - LAST_HOP_LATENCY_MILLIS);

        assertThat(acceptingTargets()).containsExactly("b", "c");
    }

    /** Guards against work for a target that left while a change before it was on its way. */
    @Test
    void endedRegistrationIsAppliedInTimeDespiteSlowAnswers() {
        mPlatform.setLatency(SLOW_ANSWER_LATENCY_MILLIS);
        mPlatform.publish("d", bytes("ready"));
        mTicker.advanceMillis(1);

        mPlatform.remove("a");
        advance(SERVES_ON_MILLIS - LAST_HOP_LATENCY_MILLIS);

        assertThat(acceptingTargets()).containsExactly("b", "c", "d");
    }

    @Test
    void endedRegistrationIsAppliedInTimeAfterFailedCall() {
        // One call of this node fails, and the next is answered: the platform was never away. A
        // target whose registration then ends has left, and may not be kept as one that ran out.
        mPlatform.setUnavailable(true);
        mPlatform.setUnavailable(false);
        advance(1_000);

        mPlatform.remove("a");
        advance(SERVES_ON_MILLIS - LAST_HOP_LATENCY_MILLIS);

        assertThat(acceptingTargets()).containsExactly("b", "c");
    }

    @Test
    void simultaneouslyEndedRegistrationsAreAppliedInTimeWhilePlatformIsAvailable() {
        // Three targets leave in one step without a word before. The platform has answered all the
        // while, so that nothing has run out: to keep them would send work to targets that left.
        mPlatform.remove("a", "b", "c");
        advance(SERVES_ON_MILLIS - LAST_HOP_LATENCY_MILLIS);

        assertThat(acceptingTargets()).isEmpty();
    }

    @Test
    void expiredRegistrationsAreRetainedAfterPlatformOutage() {
        // The platform is away for longer than leases last. Back, it holds no registration of the
        // targets, which all live and write again within 2 s: dropped, they would leave every
        // caller refused.
        mPlatform.setUnavailable(true);
        advance(6_000);
        mPlatform.remove("a", "b", "c");
        mPlatform.setUnavailable(false);
        advance(1_900);
        assertThat(acceptingTargets()).containsExactly("a", "b", "c");

        mPlatform.publish("a", bytes("ready"));
        mPlatform.publish("b", bytes("ready"));
        advance(1_000);

        assertThat(acceptingTargets()).containsExactly("a", "b");
    }

    @Test
    void expiredRegistrationsAreRetainedIfWatchSurvivedOutage() {
        // As above, but the platform fell silent and lost no connection: a waiting watch stays as
        // it is, and its next answer tells that all registrations are gone.
        mPlatform.setSilent(true);
        advance(6_000);
        mPlatform.remove("a", "b", "c");
        mPlatform.setSilent(false);
        advance(1_900);

        assertThat(acceptingTargets()).containsExactly("a", "b", "c");
    }

    /** Guards against work for a target that left, by a node that nothing reached for a while. */
    @Test
    void endedRegistrationIsNotRetainedWhileOthersReadPlatform() {
        mPlatform.setLatency(SATURATED_LINK_LATENCY_MILLIS);
        advance(1_000);

        mPlatform.remove("a");
        advanceWithPeerViews(
                SATURATED_LINK_LATENCY_MILLIS + TICK_MILLIS,
                atMillis -> atMillis - PEER_VIEW_AGE_MILLIS);

        assertThat(acceptingTargets()).containsExactly("b", "c");
    }

    /** Guards against work for a target that left, by an answer that was long on its way. */
    @Test
    void slowAnswerDoesNotExtendRetention() {
        PlatformTimes times = new PlatformTimes(2_500, 1_200);
        long latestQuestion = 2 * (times.maxViewAgeMillis() - times.nodeQueryAgeMillis());
        mFeed = feed(times, () -> latestQuestion);
        mFeed.start();
        advance(1_000);

        mPlatform.dropWatches();
        mPlatform.remove("a");
        mPlatform.setLatency(DirectoryFeed.ANSWER_TIMEOUT_MILLIS - TICK_MILLIS);
        advance(times.servesOnMillis() + times.minExpiryOutageMillis() / 2);

        assertThat(acceptingTargets()).containsExactly("b", "c");
    }

    /** Guards against a service without targets after an absence of which others told all along. */
    @Test
    void expiredRegistrationsAreRetainedDespiteStalePeerViews() {
        long awayFromMillis = mTicker.millis();
        mPlatform.setUnavailable(true);
        advanceWithPeerViews(6_000, atMillis -> Math.min(atMillis, awayFromMillis));

        mPlatform.remove("a", "b", "c");
        mPlatform.setUnavailable(false);
        long backFromMillis = mTicker.millis();
        advanceWithPeerViews(
                1_900, atMillis -> atMillis < backFromMillis ? awayFromMillis : atMillis);

        assertThat(acceptingTargets()).containsExactly("a", "b", "c");
    }

    /** Guards against a fleet that refuses all work because its platform is away. */
    @Test
    void silentPlatformBarelyInterruptsWork() {
        mPlatform.setSilent(true);
        int stoppedTicks = 0;
        for (int tick = 0; tick < 100; tick++) {
            advance(TICK_MILLIS);
            stoppedTicks += mFeed.isCurrent() ? 0 : 1;
        }

        assertThat(stoppedTicks).isLessThanOrEqualTo(2);
    }

    private List<String> acceptingTargets() {
        return mSite.registrations().stream()
                .filter(one -> !one.leaving())
                .map(Registration::name)
                .toList();
    }

    /** Lets time pass as the node's worker sees it. */
    private void advance(long millis) {
        long left = millis;
        while (left > 0) {
            long step = Math.min(left, TICK_MILLIS);
            mTicker.advanceMillis(step);
            mPlatform.answerDue();
            mFeed.tick();
            left -= step;
        }
    }

    /**
     * As {@link #advance}, while guards that know more tell how old their views are.
     *
     * @param readMillis when a guard had last read the platform, by the time at which it tells
     */
    private void advanceWithPeerViews(long millis, LongUnaryOperator readMillis) {
        for (long left = millis; left > 0; left -= TICK_MILLIS) {
            advance(TICK_MILLIS);
            long toldMillis = mTicker.millis() - PEER_VIEW_LATENCY_MILLIS;
            long ageMillis = toldMillis - readMillis.applyAsLong(toldMillis);
            mFeed.recordPeerView(
                    new SiteView(Long.MAX_VALUE, ageMillis),
                    mFeed.elapsedMillis() - PEER_VIEW_LATENCY_MILLIS);
        }
    }

    private static byte[] bytes(String state) {
        return state.getBytes(StandardCharsets.UTF_8);
    }

    private static SiteChange decode(PublishedItem item) {
        if (item.key().equals("config")) {
            return new SiteChange.Configured(
                    new PublishedConfiguration(1, 0, List.of("s"), List.of(), 1_000));
        }
        if (item.removed()) {
            return new SiteChange.Unregistered(item.key());
        }
        int port = 1 + item.key().charAt(0);
        Target target = new Target(item.key(), "s", "vm", "here", "127.0.0.1", port, 3);
        boolean leaving = new String(item.value(), StandardCharsets.UTF_8).equals("leaving");
        return new SiteChange.Registered(new Registration(item.key(), target, leaving, 1, 0));
    }
}

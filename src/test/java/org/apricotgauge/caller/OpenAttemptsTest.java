package org.apricotgauge.caller;

import static org.assertj.core.api.Assertions.assertThat;

import org.apricotgauge.decision.attempt.NotRunReason;
import org.apricotgauge.decision.attempt.Outcome;
import org.junit.jupiter.api.Test;

class OpenAttemptsTest {
    private static final Outcome REFUSED = new Outcome.NotRun(NotRunReason.LEAVING, 0);
    private static final Outcome.Answered OK = new Outcome.Answered(200);
    private static final Outcome.Answered FAILED = new Outcome.Answered(500);

    private final OpenAttempts mAttempts = new OpenAttempts();
    private final TargetAttempt mFirst = new SilentAttempt();
    private final TargetAttempt mSecond = new SilentAttempt();

    @Test
    void onlyTheCurrentAttemptIsSent() {
        mAttempts.begin(mFirst);
        assertThat(mAttempts.isCurrentSent()).isFalse();
        assertThat(mAttempts.trySend(mSecond)).isFalse();
        assertThat(mAttempts.trySend(mFirst)).isTrue();
        assertThat(mAttempts.isCurrentSent()).isTrue();
    }

    @Test
    void attemptThatIsSetAsideStaysOpenBesideTheNext() {
        beginBeside();
        assertThat(mAttempts.isAside(mFirst)).isTrue();
        assertThat(mAttempts.isCurrent(mSecond)).isTrue();
        assertThat(mAttempts.removeAllBut(mFirst)).containsExactly(mSecond);
        assertThat(mAttempts.removeAllBut(null)).isEmpty();
    }

    @Test
    void attemptIsSetAsideOnce() {
        beginBeside();
        assertThat(mAttempts.trySetAside(mFirst)).isFalse();
        assertThat(mAttempts.removeAside(mFirst)).isTrue();
        assertThat(mAttempts.removeAside(mFirst)).isFalse();
    }

    // Guards against a refusal that is told while a target is at work.
    @Test
    void outcomeIsHeldWhileAnAttemptIsOpen() {
        beginBeside();
        mAttempts.removeCurrent(mSecond);
        assertThat(mAttempts.tryHold(REFUSED)).isTrue();
        assertThat(mAttempts.heldOutcome()).contains(REFUSED);

        mAttempts.removeAside(mFirst);

        assertThat(mAttempts.tryHold(REFUSED)).isFalse();
    }

    @Test
    void successIsPassedOnWhicheverAttemptBringsIt() {
        beginBeside();
        assertThat(mAttempts.tryWaitForBetter(mSecond, OK, false)).isFalse();
        assertThat(mAttempts.tryWaitForBetter(mFirst, OK, false)).isFalse();
    }

    @Test
    void failureOfTheEarlierAttemptWaitsForTheCurrentOne() {
        beginBeside();
        assertThat(mAttempts.tryWaitForBetter(mFirst, FAILED, false)).isTrue();
        assertThat(mAttempts.hasAside()).isFalse();
        assertThat(mAttempts.tryWaitForBetter(mSecond, FAILED, false)).isFalse();
    }

    @Test
    void failureOfTheCurrentAttemptWaitsForTheEarlierOne() {
        beginBeside();
        assertThat(mAttempts.tryWaitForBetter(mSecond, FAILED, false)).isTrue();
        mAttempts.tryHold(REFUSED);
        assertThat(mAttempts.tryWaitForBetter(mFirst, FAILED, false)).isFalse();
    }

    private void beginBeside() {
        mAttempts.begin(mFirst);
        mAttempts.trySend(mFirst);
        mAttempts.trySetAside(mFirst);
        mAttempts.begin(mSecond);
    }

    /** An attempt that nothing happens to. */
    private static final class SilentAttempt implements TargetAttempt {
        @Override
        public void send() {}

        @Override
        public void abandon() {}

        @Override
        public void end() {}
    }
}

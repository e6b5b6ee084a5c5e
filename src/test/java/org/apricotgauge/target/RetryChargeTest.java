package org.apricotgauge.target;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import org.apricotgauge.decision.attempt.RetryAllowancePolicy;
import org.apricotgauge.decision.attempt.RetryBudget;
import org.apricotgauge.http.HeaderNames;
import org.apricotgauge.time.ManualTicker;
import org.eclipse.jetty.http.HttpFields;
import org.junit.jupiter.api.Test;

/**
 * A service of which most targets are sick, and whose retries are bounded over the fleet.
 *
 * <p>Six guards, each with a sixth of the 60 retries and 0.16 a request that the fleet may make in
 * ten seconds. 40 requests a second; two of ten meet one of four sick targets, which fail them, and
 * are sent again to one of the two healthy ones. That is 8 retries a second of the 9.4 that the
 * fleet may make; the parts of the two healthy guards allow 6.
 */
class RetryChargeTest {
    private static final int GUARDS = 6;
    private static final int HEALTHY = 2;
    private static final double SHARE = 0.16;
    private static final RetryAllowancePolicy ALLOWANCE = RetryAllowancePolicy.ofFleet(60, 10);

    private final ManualTicker mTicker = new ManualTicker();
    private final SplittableRandom mRandom = new SplittableRandom(5);
    private final List<RetryBudget> mBudgets = new ArrayList<>();

    @Test
    void budgetsOfFailingGuardsPayForRetriesAtHealthyOnes() {
        double allAlone = rejectedRetryShare(false);
        double paid = rejectedRetryShare(true);

        assertThat(allAlone).isGreaterThan(0.2);
        assertThat(paid).isLessThan(0.05);
    }

    @Test
    void prepaidRetryIsNotCharged() {
        RetryBudget budget = new RetryBudget(0, 1, 0);

        assertThat(chargeOf(HeaderNames.RETRY_PREPAID, budget).tryCharge()).isTrue();
        assertThat(chargeOf(HeaderNames.RETRY_OF_REQUEST, budget).tryCharge()).isTrue();
        assertThat(chargeOf(HeaderNames.RETRY_OF_REQUEST, budget).tryCharge()).isFalse();
        assertThat(chargeOf(HeaderNames.RETRY_PREPAID, budget).tryCharge()).isTrue();
        assertThat(chargeOf(null, budget).tryPrepayRetry()).isFalse();
    }

    private double rejectedRetryShare(boolean whoFailsPays) {
        mBudgets.clear();
        for (int i = 0; i < GUARDS; i++) {
            mBudgets.add(
                    RetryBudget.startingEmpty(
                            mTicker.millis(),
                            SHARE,
                            ALLOWANCE.allowance(GUARDS).burst(),
                            ALLOWANCE.allowance(GUARDS).perSecond()));
        }
        int repeats = 0;
        int refused = 0;
        for (int i = 0; i < 40 * 60; i++) {
            mTicker.advanceMillis(25);
            boolean fails = mRandom.nextInt(10) < 2;
            int target = fails ? HEALTHY + mRandom.nextInt(GUARDS - HEALTHY) : randomHealthyGuard();
            RetryCharge pass = chargeOf(null, mBudgets.get(target));
            pass.tryCharge();
            if (fails) {
                boolean paid = whoFailsPays && pass.tryPrepayRetry();
                String repeat = paid ? HeaderNames.RETRY_PREPAID : HeaderNames.RETRY_OF_REQUEST;
                repeats++;
                refused += chargeOf(repeat, mBudgets.get(randomHealthyGuard())).tryCharge() ? 0 : 1;
            }
        }
        return (double) refused / repeats;
    }

    private int randomHealthyGuard() {
        return mRandom.nextInt(HEALTHY);
    }

    private RetryCharge chargeOf(String repeat, RetryBudget budget) {
        HttpFields.Mutable headers = HttpFields.build();
        if (repeat != null) {
            headers.put(HeaderNames.RETRY, repeat);
        }
        return new RetryCharge(headers, budget, mTicker, () -> {});
    }
}

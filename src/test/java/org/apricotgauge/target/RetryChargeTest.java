package org.apricotgauge.target;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import org.apricotgauge.decision.attempt.RetryAllowancePolicy;
import org.apricotgauge.decision.attempt.RetryBudget;
import org.apricotgauge.decision.attempt.TokenBucketRetryBudget;
import org.apricotgauge.http.HeaderNames;
import org.apricotgauge.time.ManualTicker;
import org.eclipse.jetty.http.HttpFields;
import org.junit.jupiter.api.Test;

/**
 * Guards against rejected retries while most targets of a service are degraded: the guards of the
 * healthy targets run out of budget while those of the degraded ones have some left.
 *
 * <p>Each of six guards has a sixth of the fleet's allowance of 60 retries and 0.16 per request in
 * ten seconds. Of 40 requests per second, two of ten fail at one of four degraded targets and are
 * retried at one of the two healthy ones. That is 8 of the 9.4 retries per second that the fleet
 * allows, but the shares of the two healthy guards allow only 6.
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
        double notPrepaid = rejectedRetryShare(false);
        double prepaid = rejectedRetryShare(true);

        assertThat(notPrepaid).isGreaterThan(0.2);
        assertThat(prepaid).isLessThan(0.05);
    }

    @Test
    void prepaidRetryIsNotCharged() {
        RetryBudget budget = new TokenBucketRetryBudget(0, 1, 0);

        assertThat(chargeOf(HeaderNames.RETRY_PREPAID, budget).tryCharge()).isTrue();
        assertThat(chargeOf(HeaderNames.RETRY_OF_REQUEST, budget).tryCharge()).isTrue();
        assertThat(chargeOf(HeaderNames.RETRY_OF_REQUEST, budget).tryCharge()).isFalse();
        assertThat(chargeOf(HeaderNames.RETRY_PREPAID, budget).tryCharge()).isTrue();
        assertThat(chargeOf(null, budget).tryPrepayRetry()).isFalse();
    }

    private double rejectedRetryShare(boolean prepay) {
        mBudgets.clear();
        for (int i = 0; i < GUARDS; i++) {
            mBudgets.add(
                    TokenBucketRetryBudget.startingEmpty(
                            mTicker.millis(),
                            SHARE,
                            ALLOWANCE.allowance(GUARDS).burst(),
                            ALLOWANCE.allowance(GUARDS).perSecond()));
        }
        int retries = 0;
        int rejected = 0;
        for (int i = 0; i < 40 * 60; i++) {
            mTicker.advanceMillis(25);
            boolean fails = mRandom.nextInt(10) < 2;
            int target = fails ? HEALTHY + mRandom.nextInt(GUARDS - HEALTHY) : randomHealthyGuard();
            RetryCharge charge = chargeOf(null, mBudgets.get(target));
            charge.tryCharge();
            if (fails) {
                boolean prepaid = prepay && charge.tryPrepayRetry();
                String retryHeader =
                        prepaid ? HeaderNames.RETRY_PREPAID : HeaderNames.RETRY_OF_REQUEST;
                retries++;
                rejected +=
                        chargeOf(retryHeader, mBudgets.get(randomHealthyGuard())).tryCharge()
                                ? 0
                                : 1;
            }
        }
        return (double) rejected / retries;
    }

    private int randomHealthyGuard() {
        return mRandom.nextInt(HEALTHY);
    }

    private RetryCharge chargeOf(String retryHeader, RetryBudget budget) {
        HttpFields.Mutable headers = HttpFields.build();
        if (retryHeader != null) {
            headers.put(HeaderNames.RETRY, retryHeader);
        }
        return new RetryCharge(headers, budget, mTicker, () -> {});
    }
}

package org.apricotgauge.target;

import static org.assertj.core.api.Assertions.assertThat;

import org.apricotgauge.decision.attempt.TokenBucketRetryBudget;
import org.apricotgauge.http.HeaderNames;
import org.apricotgauge.time.ManualTicker;
import org.eclipse.jetty.http.HttpFields;
import org.junit.jupiter.api.Test;

class RetryPrepaymentTest {
    private static final double RETRIES = 4;

    private final ManualTicker mTicker = new ManualTicker();
    private final TokenBucketRetryBudget mBudget = new TokenBucketRetryBudget(0, RETRIES, 0);
    private final HttpFields.Mutable mOffer = HttpFields.build();
    private final HttpFields.Mutable mAnswer = HttpFields.build();

    // Guards against a second retry for one payment: an offer, and the failed answer after it.
    @Test
    void aPaymentThatWasOfferedIsNotToldWithTheAnswer() {
        RetryPrepayment prepayment = prepaymentOf(HttpFields.build());
        assertThat(prepayment.tryPayEarly()).isTrue();
        assertThat(prepayment.tryTell(mOffer)).isTrue();

        assertThat(prepayment.tryTell(mAnswer)).isFalse();
        prepayment.pay(mAnswer, true);

        assertThat(mOffer.contains(HeaderNames.NEXT_RETRY_PREPAID)).isTrue();
        assertThat(mAnswer.contains(HeaderNames.NEXT_RETRY_PREPAID)).isFalse();
        assertThat(prepayment.tryPayEarly()).isFalse();
        assertThat(prepayment.tryPayForFailed()).isFalse();
        assertThat(retriesLeft()).isEqualTo(3);
    }

    // Guards against a payment that is lost as the answer begins before the entry is told of it.
    @Test
    void aPaymentThatWasNotOfferedIsToldWithTheAnswerAndNotPaidAgain() {
        RetryPrepayment prepayment = prepaymentOf(HttpFields.build());
        assertThat(prepayment.tryPayForFailed()).isTrue();

        prepayment.pay(mAnswer, true);

        assertThat(mAnswer.contains(HeaderNames.NEXT_RETRY_PREPAID)).isTrue();
        assertThat(prepayment.tryTell(mOffer)).isFalse();
        assertThat(retriesLeft()).isEqualTo(3);
    }

    // Guards against an offer that nothing was paid for.
    @Test
    void nothingIsToldBeforeItIsPaid() {
        assertThat(prepaymentOf(HttpFields.build()).tryTell(mOffer)).isFalse();

        assertThat(mOffer.size()).isZero();
        assertThat(retriesLeft()).isEqualTo(4);
    }

    // Guards against a request that waits at the entry in vain after another one's offer.
    @Test
    void afterAnOfferARequestThatWaitsIsPaidForAnew() {
        RetryPrepayment prepayment =
                prepaymentOf(HttpFields.build().put(HeaderNames.RETRY_WANTED, "full_normal"));
        prepayment.tryPayEarly();
        prepayment.tryTell(mOffer);

        prepayment.pay(mAnswer, true);

        assertThat(mAnswer.contains(HeaderNames.NEXT_RETRY_PREPAID)).isFalse();
        assertThat(mAnswer.contains(HeaderNames.WAITING_RETRY_PREPAID)).isTrue();
        assertThat(retriesLeft()).isEqualTo(2);
    }

    private RetryPrepayment prepaymentOf(HttpFields headers) {
        return new RetryPrepayment(
                new RetryCharge(headers, mBudget, mTicker, () -> {}), true, () -> true);
    }

    private int retriesLeft() {
        RetryCharge charge = new RetryCharge(HttpFields.EMPTY, mBudget, mTicker, () -> {});
        int left = 0;
        while (charge.tryPrepayRetry()) {
            left++;
        }
        return left;
    }
}

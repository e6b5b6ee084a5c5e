package org.apricotgauge.caller;

import java.util.concurrent.atomic.AtomicLong;
import org.apricotgauge.decision.attempt.Outcome;
import org.apricotgauge.decision.attempt.UnknownReason;
import org.apricotgauge.http.Bodies;
import org.apricotgauge.http.client.UpstreamResponse;
import org.eclipse.jetty.http.HttpFields;
import org.eclipse.jetty.http.HttpHeader;
import org.eclipse.jetty.http.HttpMethod;
import org.eclipse.jetty.http.HttpStatus;
import org.eclipse.jetty.io.Content;

/**
 * Reads small answers whole before their heads are passed on.
 *
 * <pre>{@code
 * heldAnswers.pass(exchange, attempt, answer, body);
 * }</pre>
 *
 * <p>An answer that breaks off can't be taken back once its head has been sent. While the head is
 * held, an idempotent request is sent to another target instead. Thread-safe.
 */
final class HeldAnswers {
    /** A longer answer is streamed. */
    private static final long MAX_ANSWER_BYTES = 49_152;

    /** Beyond it, answers are streamed. */
    private static final long MAX_TOTAL_BYTES = 12_582_912;

    private final AtomicLong mHeldBytes = new AtomicLong();

    /** Passes an answer to its exchange, once it is whole if it can be held. */
    void pass(
            CallerExchange exchange,
            TargetAttempt attempt,
            UpstreamResponse answer,
            Content.Source body) {
        long bytes = lengthToHold(exchange, answer);
        if (bytes == 0 || !tryReserve(bytes)) {
            exchange.onAnswer(attempt, answer, body);
            return;
        }
        Bodies.readAll(body, (int) bytes)
                .whenComplete(
                        (whole, failure) -> {
                            if (failure == null) {
                                exchange.onAnswer(
                                        attempt,
                                        answer,
                                        new WholeBody(whole, () -> release(bytes)));
                                return;
                            }
                            release(bytes);
                            body.fail(failure);
                            attempt.end();
                            exchange.context().metrics().brokenAnswers().inc();
                            exchange.onAttemptEnded(
                                    attempt, new Outcome.Unknown(UnknownReason.ANSWER_LOST));
                        });
    }

    /** Returns the length of an answer that can be held; 0 of one that is streamed. */
    private static long lengthToHold(CallerExchange exchange, UpstreamResponse answer) {
        HttpFields headers = answer.headers();
        long bytes = headers.getLongField(HttpHeader.CONTENT_LENGTH);
        boolean isSmall = bytes > 0 && bytes <= MAX_ANSWER_BYTES;
        boolean isStreamed =
                HttpMethod.HEAD.is(exchange.request().getMethod())
                        || HttpStatus.hasNoBody(answer.status())
                        || headers.contains(HttpHeader.TRAILER)
                        || headers.contains(HttpHeader.TRANSFER_ENCODING);
        return isSmall
                        && !isStreamed
                        && exchange.callerRequest().idempotent()
                        && exchange.body().canReplay()
                ? bytes
                : 0;
    }

    private boolean tryReserve(long bytes) {
        if (mHeldBytes.addAndGet(bytes) <= MAX_TOTAL_BYTES) {
            return true;
        }
        release(bytes);
        return false;
    }

    private void release(long bytes) {
        mHeldBytes.addAndGet(-bytes);
    }
}

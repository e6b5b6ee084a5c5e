package org.apricotgauge.caller;

import com.codahale.metrics.Counter;
import com.codahale.metrics.MetricRegistry;
import org.apricotgauge.http.ByteBudget;
import org.apricotgauge.http.HeaderNames;
import org.apricotgauge.http.ReplayableBody;
import org.apricotgauge.http.WithheldBody;
import org.eclipse.jetty.client.Request.Content;
import org.eclipse.jetty.http.HttpFields;
import org.eclipse.jetty.server.Request;

/**
 * Sends large bodies only to guards that have a slot for them, and keeps them for a next attempt.
 *
 * <pre>{@code
 * ReplayableBody body = largeBodies.bodyOf(callerRequest);
 * WithheldBody withheld = largeBodies.withhold(body.open(), headers);
 * largeBodies.onAcknowledged(withheld, fields);
 * }</pre>
 *
 * <p>Without it a body beyond {@link CallerExchange#MAX_REPLAYABLE_BYTES} is sent once: if that
 * guard has no slot, or its target sheds the request, the request is refused though others have
 * room. The bytes that a node keeps are bounded. Thread-safe.
 */
final class LargeBodies {
    /** A shorter body is sent with its head: it fits the buffers of a connection. */
    private static final long MIN_WITHHELD_BYTES = 16_384;

    /** A longer body is sent once. */
    private static final int MAX_KEPT_BYTES = 524_288;

    /** Kept by a node for all requests; an eighth of its heap. */
    private static final long MAX_TOTAL_BYTES = 12_000_000;

    private final boolean mEnabled;
    private final ByteBudget mKept = new ByteBudget(MAX_TOTAL_BYTES);
    private final Counter mWithheld;

    /**
     * Creates the treatment of one entry.
     *
     * @param enabled whether large bodies are treated at all
     */
    LargeBodies(boolean enabled, MetricRegistry registry) {
        mEnabled = enabled;
        mWithheld = registry.counter("entry.bodies.withheld");
        registry.gauge("entry.bodies.kept_bytes", () -> mKept::reservedBytes);
    }

    /** Returns the body of a caller's request, to be released once the request has ended. */
    ReplayableBody bodyOf(Request request) {
        int small = CallerExchange.MAX_REPLAYABLE_BYTES;
        return mEnabled
                ? new ReplayableBody(request, small, MAX_KEPT_BYTES, mKept)
                : new ReplayableBody(request, small);
    }

    /**
     * Returns a body that is sent once the guard asks for it, after adding the header that tells
     * the guard so; null if the body is sent with its head.
     */
    WithheldBody withhold(Content body, HttpFields.Mutable headers) {
        boolean isShort = body.getLength() >= 0 && body.getLength() < MIN_WITHHELD_BYTES;
        if (!mEnabled || isShort) {
            return null;
        }
        mWithheld.inc();
        headers.put(HeaderNames.BODY_ON_DEMAND, HeaderNames.BODY_WITHHELD);
        return new WithheldBody(body);
    }

    /**
     * Releases a body unless the guard says that it waits for a slot; a guard of an earlier release
     * says nothing.
     *
     * @param withheld the body; null if it was sent with its head
     * @param fields headers of the guard's acknowledgement
     */
    static void onAcknowledged(WithheldBody withheld, HttpFields fields) {
        if (withheld != null
                && !HeaderNames.BODY_WITHHELD.equals(fields.get(HeaderNames.BODY_ON_DEMAND))) {
            withheld.release();
        }
    }
}

package org.apricotgauge.http;

import org.apricotgauge.model.Checks;
import org.eclipse.jetty.client.Request;
import org.eclipse.jetty.io.Content;

/**
 * A body that yields nothing until it is released.
 *
 * <pre>{@code
 * WithheldBody withheld = new WithheldBody(body.open());
 * guard.send(head, withheld);
 * withheld.release();   // once the guard has a slot for the request
 * }</pre>
 *
 * <p>A large body that was sent to a guard which then refuses the request is lost for the next
 * attempt, and has crossed the network in vain. Thread-safe.
 */
public final class WithheldBody implements Request.Content {
    private final Request.Content mBody;
    private boolean mReleased;
    private Runnable mDemand;

    /** Wraps a body of which nothing was read. */
    public WithheldBody(Request.Content body) {
        mBody = Checks.notNull("body", body);
    }

    /** Lets the reader read from now on; has no effect the second time. */
    public void release() {
        Runnable demand;
        synchronized (this) {
            mReleased = true;
            demand = mDemand;
            mDemand = null;
        }
        if (demand != null) {
            mBody.demand(demand);
        }
    }

    private synchronized boolean isReleased() {
        return mReleased;
    }

    @Override
    public long getLength() {
        return mBody.getLength();
    }

    @Override
    public Content.Chunk read() {
        return isReleased() ? mBody.read() : null;
    }

    @Override
    public void demand(Runnable onAvailable) {
        synchronized (this) {
            if (!mReleased) {
                mDemand = onAvailable;
                return;
            }
        }
        mBody.demand(onAvailable);
    }

    @Override
    public void fail(Throwable failure) {
        mBody.fail(failure);
    }
}

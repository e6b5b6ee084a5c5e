package org.apricotgauge.http;

import org.apricotgauge.model.Checks;
import org.eclipse.jetty.io.Content;

/**
 * A source that records whether it was the one that failed.
 *
 * <pre>{@code
 * FailureTrackingSource body = new FailureTrackingSource(source);
 * Content.copy(body, sink, callback);
 * // on failure, body.hasFailed() distinguishes a failed upstream from a disconnected receiver
 * }</pre>
 */
public final class FailureTrackingSource implements Content.Source {
    private final Content.Source mSource;
    private volatile boolean mFailed;

    /** Wraps the given source. */
    public FailureTrackingSource(Content.Source source) {
        mSource = Checks.notNull("source", source);
    }

    /** Returns whether a read of the source itself failed. */
    public boolean hasFailed() {
        return mFailed;
    }

    @Override
    public long getLength() {
        return mSource.getLength();
    }

    @Override
    public Content.Chunk read() {
        Content.Chunk chunk = mSource.read();
        if (Content.Chunk.isFailure(chunk)) {
            mFailed = true;
        }
        return chunk;
    }

    @Override
    public void demand(Runnable onAvailable) {
        mSource.demand(onAvailable);
    }

    @Override
    public void fail(Throwable failure) {
        mSource.fail(failure);
    }
}

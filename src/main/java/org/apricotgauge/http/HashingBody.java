package org.apricotgauge.http;

import org.apricotgauge.decision.quarantine.BodyHash;
import org.apricotgauge.model.Checks;
import org.eclipse.jetty.client.Request;
import org.eclipse.jetty.io.Content;

/** A body that is hashed while it is read, and passed on unchanged. */
public final class HashingBody implements Request.Content {
    private final Request.Content mBody;
    private final BodyHash mHash;
    private long mReadBytes;

    /** Wraps a body whose bytes are added to the hash. */
    public HashingBody(Request.Content body, BodyHash hash) {
        mBody = Checks.notNull("body", body);
        mHash = Checks.notNull("hash", hash);
    }

    @Override
    public long getLength() {
        return mBody.getLength();
    }

    @Override
    public Content.Chunk read() {
        Content.Chunk chunk = mBody.read();
        if (chunk == null || Content.Chunk.isFailure(chunk)) {
            return chunk;
        }
        mHash.update(chunk.getByteBuffer());
        mReadBytes += chunk.remaining();
        // A target may end as soon as it has all bytes, before the end of the body is read.
        if (chunk.isLast() || mReadBytes == getLength()) {
            mHash.end();
        }
        return chunk;
    }

    @Override
    public void demand(Runnable onAvailable) {
        mBody.demand(onAvailable);
    }

    @Override
    public void fail(Throwable failure) {
        mBody.fail(failure);
    }
}

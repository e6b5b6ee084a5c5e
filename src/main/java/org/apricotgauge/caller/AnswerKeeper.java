package org.apricotgauge.caller;

import java.io.ByteArrayOutputStream;
import java.nio.ByteBuffer;
import org.apricotgauge.decision.attempt.StoredAnswer;
import org.eclipse.jetty.http.HttpHeader;
import org.eclipse.jetty.server.Request;
import org.eclipse.jetty.server.Response;
import org.eclipse.jetty.util.Callback;

/** A response that keeps a copy of a small body while it is written. */
final class AnswerKeeper extends Response.Wrapper {
    private final int mLimitBytes;
    private final ByteArrayOutputStream mKept = new ByteArrayOutputStream();
    private long mBodyBytes;

    AnswerKeeper(Request request, Response response, int limitBytes) {
        super(request, response);
        mLimitBytes = limitBytes;
    }

    @Override
    public void write(boolean last, ByteBuffer content, Callback callback) {
        keep(content);
        super.write(last, content, callback);
    }

    private synchronized void keep(ByteBuffer content) {
        if (content == null || !content.hasRemaining()) {
            return;
        }
        mBodyBytes += content.remaining();
        if (mBodyBytes <= mLimitBytes) {
            byte[] bytes = new byte[content.remaining()];
            content.slice().get(bytes);
            mKept.writeBytes(bytes);
        }
    }

    /** Returns what was written; without its body if that was too long. */
    synchronized StoredAnswer answer() {
        if (mBodyBytes > mLimitBytes) {
            return StoredAnswer.withoutBody(getStatus(), mBodyBytes);
        }
        String type = getHeaders().get(HttpHeader.CONTENT_TYPE);
        return new StoredAnswer(
                getStatus(),
                type == null ? "" : type,
                mBodyBytes,
                ByteBuffer.wrap(mKept.toByteArray()));
    }
}

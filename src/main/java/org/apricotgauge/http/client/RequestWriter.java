package org.apricotgauge.http.client;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import org.apricotgauge.model.Address;
import org.eclipse.jetty.http.HttpField;
import org.eclipse.jetty.http.HttpFields;
import org.eclipse.jetty.http.HttpGenerator;
import org.eclipse.jetty.http.HttpHeader;
import org.eclipse.jetty.http.HttpMethod;
import org.eclipse.jetty.io.Content;
import org.eclipse.jetty.util.BufferUtil;
import org.eclipse.jetty.util.IteratingCallback;

/** Writes one request: its head with the first bytes of its body, then the rest as it arrives. */
final class RequestWriter extends IteratingCallback {
    private static final byte[] VERSION = ascii(" HTTP/1.1\r\n");
    private static final byte[] LENGTH = ascii("Content-Length: ");
    private static final byte[] CHUNKED = ascii("Transfer-Encoding: chunked\r\n");
    private static final byte[] LINE_END = ascii("\r\n");
    private static final byte[] LAST_CHUNK = ascii("0\r\n\r\n");

    /** Room for the request line's fixed part and the headers that this class adds. */
    private static final int EXTRA_HEAD_BYTES = 256;

    private final UpstreamConnection mConnection;
    private final UpstreamRequest mRequest;
    private Content.Chunk mChunk;
    private boolean mHeadWritten;
    private boolean mChunked;
    private boolean mEnded;
    private long mBodyBytes;

    RequestWriter(UpstreamConnection connection, UpstreamRequest request) {
        mConnection = connection;
        mRequest = request;
    }

    private static byte[] ascii(String text) {
        return text.getBytes(StandardCharsets.US_ASCII);
    }

    @Override
    protected Action process() throws Throwable {
        if (mChunk != null) {
            mChunk.release();
            mChunk = null;
        }
        if (mEnded) {
            return Action.SUCCEEDED;
        }
        Content.Chunk chunk = mRequest.body() == null ? Content.Chunk.EOF : mRequest.body().read();
        if (chunk == null && mHeadWritten) {
            mRequest.body().demand(this::iterate);
            return Action.IDLE;
        }
        if (Content.Chunk.isFailure(chunk)) {
            throw chunk.getFailure();
        }
        mChunk = chunk;
        if (chunk != null) {
            countPart(chunk);
        }
        ByteBuffer content = chunk == null ? BufferUtil.EMPTY_BUFFER : chunk.getByteBuffer();
        if (mHeadWritten) {
            writeBody(content);
        } else {
            mHeadWritten = true;
            writeHead(chunk, content);
        }
        return Action.SCHEDULED;
    }

    private void countPart(Content.Chunk part) {
        mEnded = part.isLast();
        mBodyBytes += part.remaining();
        // An upstream may answer as soon as it has all bytes, before the end of the body is read.
        if (mEnded || mBodyBytes == mRequest.body().getLength()) {
            mConnection.onLastPartSent();
        }
    }

    private void writeHead(Content.Chunk first, ByteBuffer content) {
        ByteBuffer head = newHeadBuffer();
        putAscii(head, mRequest.method());
        head.put((byte) ' ');
        putAscii(head, mRequest.path());
        head.put(VERSION);
        putHeaders(head);
        putFraming(head, first);
        head.put(LINE_END);
        head.flip();
        if (mChunked && content.hasRemaining()) {
            mConnection.getEndPoint().write(this, head, chunkHead(content), content, chunkEnd());
        } else if (content.hasRemaining()) {
            mConnection.getEndPoint().write(this, head, content);
        } else {
            mConnection.getEndPoint().write(this, head);
        }
    }

    private ByteBuffer newHeadBuffer() {
        int bytes = EXTRA_HEAD_BYTES + mRequest.method().length() + mRequest.path().length();
        for (HttpField field : mRequest.headers()) {
            bytes += field.getName().length() + length(field.getValue()) + 4;
        }
        return ByteBuffer.allocate(bytes);
    }

    private static int length(String value) {
        return value == null ? 0 : value.length();
    }

    private static void putAscii(ByteBuffer head, String text) {
        head.put(text.getBytes(StandardCharsets.ISO_8859_1));
    }

    private void putHeaders(ByteBuffer head) {
        HttpFields headers = mRequest.headers();
        if (!headers.contains(HttpHeader.HOST)) {
            Address address = mRequest.address();
            putAscii(head, "Host: " + address.host() + ':' + address.port() + "\r\n");
        }
        for (HttpField field : headers) {
            HttpGenerator.putTo(field, head);
        }
    }

    private void putFraming(ByteBuffer head, Content.Chunk first) {
        long length = bodyLength(first);
        if (length < 0) {
            mChunked = true;
            head.put(CHUNKED);
        } else if (length > 0 || expectsLength()) {
            head.put(LENGTH);
            putAscii(head, Long.toString(length));
            head.put(LINE_END);
        }
    }

    /** Returns the length of the body, or -1 if it is not known yet. */
    private long bodyLength(Content.Chunk first) {
        if (mRequest.body() == null) {
            return 0;
        }
        long length = mRequest.body().getLength();
        return length < 0 && mEnded ? first.remaining() : length;
    }

    // RFC 9110 section 8.6: a length is sent with methods that anticipate content.
    private boolean expectsLength() {
        return HttpMethod.POST.is(mRequest.method())
                || HttpMethod.PUT.is(mRequest.method())
                || (mRequest.body() != null && mRequest.body().getLength() == 0);
    }

    private void writeBody(ByteBuffer content) {
        if (!mChunked) {
            mConnection.getEndPoint().write(this, content);
        } else if (content.hasRemaining()) {
            mConnection.getEndPoint().write(this, chunkHead(content), content, chunkEnd());
        } else if (mEnded) {
            mConnection.getEndPoint().write(this, ByteBuffer.wrap(LAST_CHUNK));
        } else {
            succeeded();
        }
    }

    private static ByteBuffer chunkHead(ByteBuffer content) {
        return ByteBuffer.wrap(ascii(Integer.toHexString(content.remaining()) + "\r\n"));
    }

    private ByteBuffer chunkEnd() {
        byte[] end = new byte[LINE_END.length + (mEnded ? LAST_CHUNK.length : 0)];
        System.arraycopy(LINE_END, 0, end, 0, LINE_END.length);
        if (mEnded) {
            System.arraycopy(LAST_CHUNK, 0, end, LINE_END.length, LAST_CHUNK.length);
        }
        return ByteBuffer.wrap(end);
    }

    @Override
    protected void onCompleteSuccess() {
        mConnection.onRequestWritten();
    }

    @Override
    protected void onCompleteFailure(Throwable cause) {
        if (mChunk != null) {
            mChunk.release();
            mChunk = null;
        }
        if (mRequest.body() != null) {
            mRequest.body().fail(cause);
        }
        mConnection.onWriteFailed(cause);
    }

    @Override
    public InvocationType getInvocationType() {
        return InvocationType.NON_BLOCKING;
    }
}

package org.apricotgauge.http.client;

import java.io.EOFException;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.concurrent.atomic.AtomicReference;
import org.eclipse.jetty.http.HttpCompliance;
import org.eclipse.jetty.http.HttpException;
import org.eclipse.jetty.http.HttpField;
import org.eclipse.jetty.http.HttpFields;
import org.eclipse.jetty.http.HttpHeader;
import org.eclipse.jetty.http.HttpParser;
import org.eclipse.jetty.http.HttpStatus;
import org.eclipse.jetty.http.HttpVersion;
import org.eclipse.jetty.io.Content;
import org.eclipse.jetty.io.EndPoint;
import org.eclipse.jetty.util.BufferUtil;
import org.jboss.logging.Logger;

/**
 * Reads the responses of one connection, one after the other.
 *
 * <p>The body is read only as its consumer demands it, at most one buffer ahead. A response that
 * ends early, or whose connection is reset, fails its body; it never looks complete. A response
 * without a length, which ends with its connection, is complete only if its request was written.
 */
final class ResponseReader implements HttpParser.ResponseHandler {
    private static final Logger LOGGER = Logger.getLogger(ResponseReader.class);
    private static final int BUFFER_BYTES = 8_192;
    private static final int MAX_HEADER_BYTES = 16_384;

    /** A guard sends one a second, at most until the longest deadline of a route. */
    private static final int MAX_INTERIM_RESPONSES = 1_000;

    private final UpstreamConnection mConnection;
    private final EndPoint mEndPoint;
    private final HttpParser mParser =
            new HttpParser(this, MAX_HEADER_BYTES, HttpCompliance.RFC7230);
    private ByteBuffer mBuffer;
    private UpstreamExchange mExchange;
    private volatile Body mBody;
    private HttpVersion mVersion;
    private int mStatus;
    private HttpFields.Mutable mHeaders;
    private UpstreamResponse mResponse;
    private boolean mHeadComplete;
    private boolean mMessageComplete;
    private int mInterimResponses;
    private IOException mFailure;
    private ByteBuffer mContent;

    ResponseReader(UpstreamConnection connection, EndPoint endPoint) {
        mConnection = connection;
        mEndPoint = endPoint;
        // A cache of parsed headers for each connection would take more memory than it saves time.
        mParser.setHeaderCacheSize(0);
    }

    /** Prepares for the response to an exchange. */
    void start(UpstreamExchange exchange) {
        mExchange = exchange;
        mBody = null;
        mInterimResponses = 0;
        reset();
    }

    private void reset() {
        mParser.reset();
        mParser.setHeadResponse(mExchange.request().isHead());
        mHeaders = null;
        mResponse = null;
        mHeadComplete = false;
        mMessageComplete = false;
        mFailure = null;
    }

    /** Called when the connection has something to read and carries an exchange. */
    void onReadable() {
        Body body = mBody;
        if (body != null) {
            body.runDemand();
            return;
        }
        try {
            readHead();
        } catch (IOException e) {
            mConnection.fail(mExchange, e);
        } catch (RuntimeException | Error e) {
            LOGGER.warnf(e, "a response of %s was not handled", mEndPoint);
            mConnection.fail(mExchange, e);
        }
    }

    /** Called when the request has been written; ends a body that waited for it. */
    void onRequestWritten() {
        Body body = mBody;
        if (body != null && body.mAwaitsRequest) {
            body.runDemand();
        }
    }

    /** Called when the connection was closed; fails the body unless it has been read. */
    void onClosed() {
        Body body = mBody;
        if (body != null) {
            body.runDemand();
        }
    }

    private void readHead() throws IOException {
        while (true) {
            parseBuffer();
            if (mHeadComplete && !isInterim()) {
                deliverAnswer();
                return;
            }
            if (mMessageComplete) {
                countInterim();
                deliverInterim();
                reset();
                continue;
            }
            int filled = fill();
            if (filled == 0) {
                mConnection.awaitReadable();
                return;
            }
            if (filled < 0) {
                throw new EOFException("connection ended before the head of the response");
            }
        }
    }

    private boolean isInterim() {
        return HttpStatus.isInformational(mStatus) && mStatus != HttpStatus.SWITCHING_PROTOCOLS_101;
    }

    // The thread that reads them serves other connections, too, and would not come back to those.
    private void countInterim() throws IOException {
        mInterimResponses++;
        if (mInterimResponses > MAX_INTERIM_RESPONSES) {
            throw new IOException("more than " + MAX_INTERIM_RESPONSES + " interim responses");
        }
    }

    private void deliverInterim() {
        // Other interim responses are dropped, which RFC 9110 section 15.2 allows a proxy that
        // requested none.
        if (mStatus == HttpStatus.PROCESSING_102 || mStatus == HttpStatus.EARLY_HINTS_103) {
            mExchange.onAcknowledged(headers());
        }
    }

    private void deliverAnswer() {
        mResponse = new UpstreamResponse(mStatus, headers());
        Body body = new Body();
        mBody = body;
        mExchange.onAnswer(mResponse, body);
    }

    private HttpFields headers() {
        return mHeaders == null ? HttpFields.EMPTY : mHeaders;
    }

    private int fill() throws IOException {
        if (mBuffer == null) {
            mBuffer = BufferUtil.allocate(BUFFER_BYTES);
        } else {
            BufferUtil.clear(mBuffer);
        }
        return mEndPoint.fill(mBuffer);
    }

    /** Parses what was received, up to the end of the head or of the message. */
    private void parseBuffer() throws IOException {
        boolean headWasComplete = mHeadComplete;
        int before;
        do {
            before = remaining();
            parse();
        } while (!mMessageComplete && mHeadComplete == headWasComplete && remaining() < before);
        if (!mMessageComplete && mHeadComplete == headWasComplete && remaining() > 0) {
            throw new IOException("malformed response");
        }
    }

    private void parse() throws IOException {
        mParser.parseNext(mBuffer == null ? BufferUtil.EMPTY_BUFFER : mBuffer);
        if (mFailure != null) {
            throw mFailure;
        }
    }

    /** Parses what was received, collects its content, and returns it; empty if there is none. */
    private ByteBuffer parseContent() throws IOException {
        mContent = null;
        parseBuffer();
        ByteBuffer content = mContent;
        mContent = null;
        return content == null ? BufferUtil.EMPTY_BUFFER : content.flip();
    }

    private int remaining() {
        return mBuffer == null ? 0 : mBuffer.remaining();
    }

    private Content.Chunk readBody(Body body) throws IOException {
        while (true) {
            ByteBuffer content = parseContent();
            if (mMessageComplete) {
                if (mustAwaitRequest()) {
                    body.mAwaitsRequest = true;
                    return null;
                }
                endBody(body);
                return content.hasRemaining()
                        ? Content.Chunk.from(content, true)
                        : Content.Chunk.EOF;
            }
            if (content.hasRemaining()) {
                return Content.Chunk.from(content, false);
            }
            int filled = fill();
            if (filled == 0) {
                return null;
            }
            if (filled < 0) {
                endAtEof();
            }
        }
    }

    // A connection that was closed on this side reads as ended, too, and is no end of a body.
    private void endAtEof() throws IOException {
        Throwable closeCause = mConnection.closeCause();
        if (closeCause != null) {
            throw new IOException("connection was closed", closeCause);
        }
        mParser.atEOF();
        parse();
        if (!mMessageComplete) {
            throw new EOFException("connection ended before the response did");
        }
    }

    // An upstream that closes while its request is on its way resets the connection. The reset may
    // follow the end of the response, and the system reports it once, to the reader or the writer,
    // so that only a request that was written shows that there was none.
    private boolean mustAwaitRequest() throws IOException {
        if (!mParser.isAtEOF() || mConnection.isRequestWritten()) {
            return false;
        }
        if (!mConnection.isLastPartSent()) {
            throw new EOFException("connection ended before the request was written");
        }
        return true;
    }

    private void endBody(Body body) {
        body.mEnded = true;
        boolean reusable =
                mVersion == HttpVersion.HTTP_1_1
                        && mStatus != HttpStatus.SWITCHING_PROTOCOLS_101
                        && !headers().contains(HttpHeader.CONNECTION, "close")
                        && !mParser.isAtEOF()
                        && remaining() == 0;
        mBuffer = null;
        mConnection.onResponseRead(reusable);
    }

    @Override
    public void startResponse(HttpVersion version, int status, String reason) {
        mVersion = version;
        mStatus = status;
    }

    @Override
    public void parsedHeader(HttpField field) {
        if (mHeaders == null) {
            mHeaders = HttpFields.build();
        }
        mHeaders.add(field);
    }

    @Override
    public boolean headerComplete() {
        mHeadComplete = true;
        return !isInterim();
    }

    @Override
    public boolean content(ByteBuffer buffer) {
        if (mContent == null) {
            mContent = ByteBuffer.allocate(buffer.remaining() + remaining());
        }
        mContent.put(buffer);
        return false;
    }

    @Override
    public boolean contentComplete() {
        return false;
    }

    @Override
    public void parsedTrailer(HttpField field) {
        mResponse.addTrailer(field);
    }

    @Override
    public boolean messageComplete() {
        mMessageComplete = true;
        return true;
    }

    @Override
    public void earlyEOF() {
        mFailure = new EOFException("connection ended before the response did");
    }

    @Override
    public void badMessage(HttpException failure) {
        mFailure = new IOException("malformed response: " + failure.getReason());
    }

    /** The body of one response. */
    private final class Body implements Content.Source {
        private final UpstreamExchange mOwner = mExchange;
        private final AtomicReference<Runnable> mDemand = new AtomicReference<>();
        private volatile boolean mEnded;
        private volatile boolean mAwaitsRequest;
        private volatile Throwable mBodyFailure;

        @Override
        public Content.Chunk read() {
            if (mEnded) {
                return Content.Chunk.EOF;
            }
            Throwable failure = failure();
            if (failure != null) {
                return Content.Chunk.from(failure, true);
            }
            try {
                return readBody(this);
            } catch (Exception | Error e) {
                fail(e);
                return Content.Chunk.from(failure(), true);
            }
        }

        private Throwable failure() {
            Throwable failure = mBodyFailure;
            return failure != null ? failure : mConnection.closeCause();
        }

        @Override
        public void demand(Runnable onAvailable) {
            mDemand.set(onAvailable);
            if (mEnded || failure() != null || hasAwaitedRequest()) {
                runDemand();
            } else if (!mAwaitsRequest) {
                mConnection.awaitReadable();
            }
        }

        private boolean hasAwaitedRequest() {
            return mAwaitsRequest && mConnection.isRequestWritten();
        }

        private void runDemand() {
            Runnable onAvailable = mDemand.getAndSet(null);
            if (onAvailable != null) {
                onAvailable.run();
            }
        }

        @Override
        public void fail(Throwable failure) {
            if (mEnded) {
                return;
            }
            mBodyFailure = failure;
            mConnection.fail(mOwner, failure);
        }
    }
}

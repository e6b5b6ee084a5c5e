package org.apricotgauge.http;

import java.io.IOException;
import java.net.StandardSocketOptions;
import org.apricotgauge.http.client.UpstreamResponse;
import org.eclipse.jetty.http.HttpHeader;
import org.eclipse.jetty.http.HttpHeaderValue;
import org.eclipse.jetty.http.HttpMethod;
import org.eclipse.jetty.http.HttpStatus;
import org.eclipse.jetty.http.HttpVersion;
import org.eclipse.jetty.io.Content;
import org.eclipse.jetty.io.EndPoint;
import org.eclipse.jetty.io.SocketChannelEndPoint;
import org.eclipse.jetty.server.Request;
import org.eclipse.jetty.server.Response;
import org.eclipse.jetty.util.Callback;

/**
 * Forwards an upstream's response to the requester with back pressure, never buffering it whole.
 *
 * <pre>{@code
 * ResponseForwarder.copyHead(upstreamResponse, response);
 * ResponseForwarder.copyBody(upstreamResponse, body, response, callback);
 * }</pre>
 */
public final class ResponseForwarder {

    private ResponseForwarder() {}

    /** Copies the status and the end-to-end headers. */
    public static void copyHead(UpstreamResponse from, Response to) {
        to.setStatus(from.status());
        ForwardedHeaders.copyResponse(from.headers(), to.getHeaders());
    }

    /**
     * Copies the body and, where the upstream announced them, the trailers.
     *
     * <p>A truncated body fails the callback. If the head has been sent, the server then closes the
     * connection without ending the message, so that a truncated response never looks complete.
     */
    public static void copyBody(
            UpstreamResponse from, Content.Source body, Response to, Callback callback) {
        chunkIfLengthUnknown(from, to);
        if (from.headers().contains(HttpHeader.TRAILER)) {
            to.setTrailersSupplier(from::trailers);
        }
        Content.copy(body, to, callback);
    }

    // If the caller requests that its connection be closed, a server may end a body of unknown
    // length by closing it. A truncated response would then look complete, so such a body is always
    // chunked: only a complete response has the last chunk.
    private static void chunkIfLengthUnknown(UpstreamResponse from, Response to) {
        Request request = to.getRequest();
        boolean supportsChunks =
                request.getConnectionMetaData().getHttpVersion() == HttpVersion.HTTP_1_1;
        boolean hasBody =
                !HttpMethod.HEAD.is(request.getMethod()) && !HttpStatus.hasNoBody(from.status());
        boolean lengthKnown = from.headers().contains(HttpHeader.CONTENT_LENGTH);
        if (supportsChunks && hasBody && !lengthKnown) {
            to.getHeaders().put(HttpHeader.TRANSFER_ENCODING, HttpHeaderValue.CHUNKED);
        }
    }

    /**
     * Closes a caller's connection in a way that shows that its response is incomplete.
     *
     * <p>HTTP/1.0 has no chunked coding, so that a plain close would look like the end of the body.
     * A reset (RFC 9293 section 3.10.7) is the only signal that remains.
     */
    public static void abort(Request request, Callback callback, Throwable cause) {
        boolean needsReset =
                request.getConnectionMetaData().getHttpVersion() == HttpVersion.HTTP_1_0;
        EndPoint endPoint = request.getConnectionMetaData().getConnection().getEndPoint();
        if (needsReset && endPoint instanceof SocketChannelEndPoint socket) {
            try {
                socket.getChannel().setOption(StandardSocketOptions.SO_LINGER, 0);
            } catch (IOException ignored) {
                // The connection is closed already, which the caller detects as well.
            }
        }
        callback.failed(cause);
    }
}

package org.apricotgauge.http;

import java.io.IOException;
import java.net.StandardSocketOptions;
import org.eclipse.jetty.http.HttpFields;
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
 * Passes an upstream's answer on to whoever asked, with back pressure and never held whole.
 *
 * <pre>{@code
 * AnswerStream.copyHead(upstreamResponse, response);
 * AnswerStream.copyBody(upstreamResponse, body, response, callback);
 * }</pre>
 */
public final class ResponseForwarder {

    private ResponseForwarder() {}

    /** Copies status and end-to-end headers. */
    public static void copyHead(org.eclipse.jetty.client.Response from, Response to) {
        to.setStatus(from.getStatus());
        ForwardedHeaders.copyResponse(from.getHeaders(), to.getHeaders());
    }

    /**
     * Copies the body and, where the upstream announced them, the trailers.
     *
     * <p>A body that breaks off fails the callback. Once the head is out, the server then closes
     * the connection without ending the message, so that a truncated answer never looks whole.
     */
    public static void copyBody(
            org.eclipse.jetty.client.Response from,
            Content.Source body,
            Response to,
            Callback callback) {
        chunkIfLengthUnknown(from, to);
        if (from.getHeaders().contains(HttpHeader.TRAILER)) {
            to.setTrailersSupplier(() -> trailersOf(from));
        }
        Content.copy(body, to, callback);
    }

    // To a caller that asks for its connection to be closed, a server may end a body of unknown
    // length by closing. Half an answer would then look like a whole one, so such a body always
    // gets chunks, whose last one only a whole answer has.
    private static void chunkIfLengthUnknown(org.eclipse.jetty.client.Response from, Response to) {
        Request request = to.getRequest();
        boolean knowsChunks =
                request.getConnectionMetaData().getHttpVersion() == HttpVersion.HTTP_1_1;
        boolean hasBody =
                !HttpMethod.HEAD.is(request.getMethod()) && !HttpStatus.hasNoBody(from.getStatus());
        boolean lengthKnown = from.getHeaders().contains(HttpHeader.CONTENT_LENGTH);
        if (knowsChunks && hasBody && !lengthKnown) {
            to.getHeaders().put(HttpHeader.TRANSFER_ENCODING, HttpHeaderValue.CHUNKED);
        }
    }

    /**
     * Ends a caller's connection in a way that shows that its answer is not whole.
     *
     * <p>A caller that speaks HTTP/1.0 knows no chunks; a plain close would look like the end of
     * the body. A reset (RFC 9293 section 3.10.7) is the only sign that is left.
     */
    public static void abort(Request request, Callback callback, Throwable cause) {
        boolean needsReset =
                request.getConnectionMetaData().getHttpVersion() == HttpVersion.HTTP_1_0;
        EndPoint endPoint = request.getConnectionMetaData().getConnection().getEndPoint();
        if (needsReset && endPoint instanceof SocketChannelEndPoint socket) {
            try {
                socket.getChannel().setOption(StandardSocketOptions.SO_LINGER, 0);
            } catch (IOException ignored) {
                // The connection is gone already, which the caller sees as well.
            }
        }
        callback.failed(cause);
    }

    private static HttpFields trailersOf(org.eclipse.jetty.client.Response from) {
        HttpFields trailers = from.getTrailers();
        return trailers == null ? HttpFields.EMPTY : trailers;
    }
}

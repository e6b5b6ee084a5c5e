package org.apricotgauge.http;

import org.eclipse.jetty.http.HttpFields;
import org.eclipse.jetty.http.HttpHeader;
import org.eclipse.jetty.io.Content;
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
public final class AnswerStream {

    private AnswerStream() {}

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
        if (from.getHeaders().contains(HttpHeader.TRAILER)) {
            to.setTrailersSupplier(() -> trailersOf(from));
        }
        Content.copy(body, to, callback);
    }

    private static HttpFields trailersOf(org.eclipse.jetty.client.Response from) {
        HttpFields trailers = from.getTrailers();
        return trailers == null ? HttpFields.EMPTY : trailers;
    }
}

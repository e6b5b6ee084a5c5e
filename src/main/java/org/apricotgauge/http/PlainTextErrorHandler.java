package org.apricotgauge.http;

import org.apricotgauge.model.Checks;
import org.eclipse.jetty.http.HttpHeader;
import org.eclipse.jetty.http.HttpStatus;
import org.eclipse.jetty.server.Request;
import org.eclipse.jetty.server.Response;
import org.eclipse.jetty.util.Callback;

/**
 * Writes a one-line response to requests that Jetty itself rejects (malformed, smuggled or
 * oversized).
 *
 * <pre>{@code
 * server.setErrorHandler(new PlainTextErrorHandler(badRequests::inc));
 * }</pre>
 *
 * <p>The connection is closed: after a request that could not be read, the start of the next one is
 * unknown, and request smuggling relies on servers that guess it.
 */
public final class PlainTextErrorHandler implements Request.Handler {
    private final Runnable mOnBadRequest;

    /** Creates a handler that calls {@code onBadRequest} for each request rejected with 4xx. */
    public PlainTextErrorHandler(Runnable onBadRequest) {
        mOnBadRequest = Checks.notNull("onBadRequest", onBadRequest);
    }

    @Override
    public boolean handle(Request request, Response response, Callback callback) {
        int status = response.getStatus();
        if (HttpStatus.isClientError(status)) {
            mOnBadRequest.run();
        }
        response.getHeaders().put(HttpHeader.CONNECTION, "close");
        String line = "the request was refused with status " + status + '\n';
        Bodies.writeText(response, callback, status, line);
        return true;
    }
}

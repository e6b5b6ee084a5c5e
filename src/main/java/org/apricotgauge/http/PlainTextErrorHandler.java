package org.apricotgauge.http;

import org.apricotgauge.model.Checks;
import org.eclipse.jetty.http.HttpHeader;
import org.eclipse.jetty.http.HttpStatus;
import org.eclipse.jetty.server.Request;
import org.eclipse.jetty.server.Response;
import org.eclipse.jetty.util.Callback;

/**
 * Answers what Jetty itself refuses (malformed, smuggled or oversized requests) by one line.
 *
 * <pre>{@code
 * server.setErrorHandler(new RefusalHandler(badRequests::inc));
 * }</pre>
 *
 * <p>The connection is closed: after a request that could not be read, nobody knows where the next
 * one begins, and guessing is what request smuggling lives on.
 */
public final class PlainTextErrorHandler implements Request.Handler {
    private final Runnable mOnBadRequest;

    /** Creates a handler that calls {@code onRefused} for each request refused with 4xx. */
    public PlainTextErrorHandler(Runnable onRefused) {
        mOnBadRequest = Checks.notNull("onRefused", onRefused);
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

package org.apricotgauge.http;

import org.apricotgauge.model.Checks;
import org.eclipse.jetty.http.HttpHeader;
import org.eclipse.jetty.http.HttpStatus;
import org.eclipse.jetty.server.Request;
import org.eclipse.jetty.server.Response;
import org.eclipse.jetty.util.Callback;

/**
 * Writes a one-line response to requests that Jetty itself rejects (malformed, smuggled or
 * oversized) or fails to serve.
 *
 * <pre>{@code
 * server.setErrorHandler(new PlainTextErrorHandler(badRequests::inc, OutcomeCodec::writeStarted));
 * }</pre>
 *
 * <p>The connection is closed: after a request that could not be read, the start of the next one is
 * unknown, and request smuggling relies on servers that guess it.
 */
public final class PlainTextErrorHandler implements Request.Handler {
    private final Runnable mOnBadRequest;
    private final ServerErrorWriter mServerErrors;

    /** Answers a request that was read and then failed in the server, at whatever point. */
    @FunctionalInterface
    public interface ServerErrorWriter {
        /** Writes the final response. */
        void write(Response response, Callback callback);
    }

    /**
     * Creates a handler.
     *
     * @param onBadRequest called for each request that is rejected with 4xx
     * @param serverErrors answers requests that failed in the server
     */
    public PlainTextErrorHandler(Runnable onBadRequest, ServerErrorWriter serverErrors) {
        mOnBadRequest = Checks.notNull("onBadRequest", onBadRequest);
        mServerErrors = Checks.notNull("serverErrors", serverErrors);
    }

    @Override
    public boolean handle(Request request, Response response, Callback callback) {
        int status = response.getStatus();
        if (HttpStatus.isClientError(status)) {
            mOnBadRequest.run();
        }
        response.getHeaders().put(HttpHeader.CONNECTION, "close");
        if (isServerFailure(status)) {
            mServerErrors.write(response, callback);
            return true;
        }
        String line = "the request was refused with status " + status + '\n';
        Bodies.writeText(response, callback, status, line);
        return true;
    }

    /** The parser rejects requests with 501 and 505; they never reached a handler. */
    private static boolean isServerFailure(int status) {
        return HttpStatus.isServerError(status)
                && status != HttpStatus.NOT_IMPLEMENTED_501
                && status != HttpStatus.HTTP_VERSION_NOT_SUPPORTED_505;
    }
}

package org.apricotgauge.operator;

import org.eclipse.jetty.http.HttpHeader;
import org.eclipse.jetty.io.Content;
import org.eclipse.jetty.server.Request;
import org.eclipse.jetty.server.Response;
import org.eclipse.jetty.util.Callback;

/** Answers errors that Jetty itself finds by one line, without a page or a stack trace. */
final class PlainErrorHandler implements Request.Handler {

    @Override
    public boolean handle(Request request, Response response, Callback callback) {
        response.getHeaders().put(HttpHeader.CONTENT_TYPE, "text/plain; charset=utf-8");
        String line = "the request was refused with status " + response.getStatus() + '\n';
        Content.Sink.write(response, true, line, callback);
        return true;
    }
}

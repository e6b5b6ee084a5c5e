package org.apricotgauge.http;

import org.eclipse.jetty.client.ProcessingProtocolHandler;
import org.eclipse.jetty.client.Request;
import org.eclipse.jetty.client.Response;
import org.eclipse.jetty.http.HttpFields;
import org.eclipse.jetty.http.HttpStatus;

/**
 * Removes 1xx responses from an exchange and notifies the exchange of a 102.
 *
 * <p>A guard answers 102 (RFC 2518 section 10.1) as soon as it has received the request, so that
 * the entry can distinguish a broken path (no 102) from a slow target (102, then nothing yet).
 * Other interim responses are dropped, which RFC 9110 section 15.2 allows a proxy that requested
 * none.
 */
final class InterimResponseHandler extends ProcessingProtocolHandler {

    @Override
    public boolean accept(Request request, Response response) {
        return HttpStatus.isInformational(response.getStatus())
                && response.getStatus() != HttpStatus.SWITCHING_PROTOCOLS_101;
    }

    @Override
    protected void onProcessing(Request request, HttpFields fields) {
        if (request.getAttributes().get(UpstreamExchange.ATTRIBUTE)
                instanceof UpstreamExchange exchange) {
            exchange.onAcknowledged(fields);
        }
    }
}

package org.apricotgauge.http.client;

import org.apricotgauge.model.Address;
import org.apricotgauge.model.Checks;
import org.eclipse.jetty.http.HttpFields;
import org.eclipse.jetty.http.HttpMethod;
import org.eclipse.jetty.io.Content;

/**
 * A request to the next hop.
 *
 * <pre>{@code
 * client.send(new UpstreamRequest(address, "POST", "/orders?x=1", headers, body), listener);
 * client.fetch(UpstreamRequest.get(address, "/health", HttpFields.EMPTY), 256, 500);
 * }</pre>
 *
 * @param address where to connect
 * @param method method
 * @param path path and query, sent unchanged
 * @param headers headers without those of the message's framing, which the client adds
 * @param body body, or null if there is none; a source of unknown length is sent in chunks
 */
public record UpstreamRequest(
        Address address, String method, String path, HttpFields headers, Content.Source body) {

    /** Validates the components. */
    public UpstreamRequest {
        Checks.notNull("address", address);
        Checks.notBlank("method", method);
        Checks.notBlank("path", path);
        Checks.notNull("headers", headers);
    }

    /** Returns a GET request without a body. */
    public static UpstreamRequest get(Address address, String path, HttpFields headers) {
        return new UpstreamRequest(address, HttpMethod.GET.asString(), path, headers, null);
    }

    boolean isHead() {
        return HttpMethod.HEAD.is(method);
    }
}

package org.apricotgauge.target;

import org.apricotgauge.model.Checks;
import org.eclipse.jetty.http.HttpFields;
import org.eclipse.jetty.io.Content;

/**
 * The request of an attempt as its guard receives it, over a connection or within the process.
 *
 * @param method method
 * @param host host that the caller addressed; null if it named none
 * @param pathQuery path and query; null if the request has none
 * @param headers the caller's headers and those of the hop
 * @param hasBody whether the request may have a body
 * @param body body, empty if there is none
 * @param entryHost IP address of the entry
 */
public record HopRequest(
        String method,
        String host,
        String pathQuery,
        HttpFields headers,
        boolean hasBody,
        Content.Source body,
        String entryHost) {

    /** Validates the components. */
    public HopRequest {
        Checks.notBlank("method", method);
        Checks.notNull("headers", headers);
        Checks.notNull("body", body);
    }

    /** Returns the path without the query. */
    String path() {
        if (pathQuery == null) {
            return "/";
        }
        int query = pathQuery.indexOf('?');
        return query < 0 ? pathQuery : pathQuery.substring(0, query);
    }
}

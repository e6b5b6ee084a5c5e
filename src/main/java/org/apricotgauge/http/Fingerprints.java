package org.apricotgauge.http;

import java.util.Locale;
import org.apricotgauge.decision.quarantine.Fingerprint;
import org.eclipse.jetty.http.HttpHeader;
import org.eclipse.jetty.server.Request;

/**
 * Computes the parts of a request's fingerprint; a caller's request and its hops yield the same.
 */
public final class Fingerprints {
    private static final int MAX_NAME_CHARS = 200;

    private Fingerprints() {}

    /**
     * Returns the hash of a request's head.
     *
     * @param member id of the member that the request belongs to
     */
    public static long headHash(Request request, String member) {
        return Fingerprint.hashHead(
                request.getMethod(),
                hostOf(request),
                String.valueOf(request.getHttpURI().getPathQuery()),
                member);
    }

    /** Returns whether a request may have a body. */
    public static boolean hasBody(Request request) {
        return request.getHeaders().contains(HttpHeader.TRANSFER_ENCODING)
                || request.getHeaders().getLongField(HttpHeader.CONTENT_LENGTH) > 0;
    }

    /**
     * Returns a name of a request for operators: method, host and path without the query, of
     * bounded length.
     */
    public static String nameOf(Request request) {
        String name =
                request.getMethod()
                        + ' '
                        + hostOf(request)
                        + String.valueOf(request.getHttpURI().getPath());
        return name.length() <= MAX_NAME_CHARS ? name : name.substring(0, MAX_NAME_CHARS);
    }

    private static String hostOf(Request request) {
        String host = Request.getServerName(request);
        return host == null ? "" : host.toLowerCase(Locale.ROOT);
    }
}

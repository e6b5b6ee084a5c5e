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
        return headHash(
                request.getMethod(),
                Request.getServerName(request),
                request.getHttpURI().getPathQuery(),
                member);
    }

    /**
     * Returns the hash of a request's head.
     *
     * @param host host that the caller addressed; null if it named none
     * @param pathQuery path and query
     * @param member id of the member that the request belongs to
     */
    public static long headHash(String method, String host, String pathQuery, String member) {
        return Fingerprint.hashHead(method, lowerCase(host), String.valueOf(pathQuery), member);
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
        return nameOf(
                request.getMethod(),
                Request.getServerName(request),
                request.getHttpURI().getPath());
    }

    /**
     * Returns a name of a request for operators, of bounded length.
     *
     * @param host host that the caller addressed; null if it named none
     * @param path path without the query
     */
    public static String nameOf(String method, String host, String path) {
        String name = method + ' ' + lowerCase(host) + path;
        return name.length() <= MAX_NAME_CHARS ? name : name.substring(0, MAX_NAME_CHARS);
    }

    private static String lowerCase(String host) {
        return host == null ? "" : host.toLowerCase(Locale.ROOT);
    }
}

package org.apricotgauge.http;

import java.util.Locale;
import org.apricotgauge.decision.quarantine.Fingerprint;
import org.eclipse.jetty.http.HttpHeader;
import org.eclipse.jetty.server.Request;

/** Reads from a request what its fingerprint is made of; callers and hops give the same. */
public final class Fingerprints {
    private static final int MAX_NAME_CHARS = 200;

    private Fingerprints() {}

    /**
     * Hashes the head of a request.
     *
     * @param member id of the member on whose behalf it comes
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

    /** Names a request for operators: method, host and path, without the query, bounded. */
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

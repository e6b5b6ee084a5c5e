package org.apricotgauge.http;

import java.util.EnumSet;
import java.util.HashSet;
import java.util.Locale;
import java.util.Set;
import org.eclipse.jetty.http.HttpField;
import org.eclipse.jetty.http.HttpFields;
import org.eclipse.jetty.http.HttpHeader;

/**
 * Copies the headers of a message from one hop to the next.
 *
 * <pre>{@code
 * ForwardedHeaders.copyRequest(callerRequest.getHeaders(), upstreamHeaders);
 * }</pre>
 *
 * <p>Removes the headers of a single connection (RFC 9110 section 7.6.1, and those that {@code
 * Connection} lists) and all headers of the fleet, which each hop sets itself.
 */
public final class ForwardedHeaders {
    /** Name of the fleet in {@code Via}. */
    public static final String VIA_PSEUDONYM = "apricotgauge";

    private static final String VIA = "1.1 " + VIA_PSEUDONYM;

    /** Hop-by-hop headers; the length and the transfer coding are set by the next hop's codec. */
    private static final Set<HttpHeader> PER_CONNECTION =
            EnumSet.of(
                    HttpHeader.CONNECTION,
                    HttpHeader.KEEP_ALIVE,
                    HttpHeader.PROXY_CONNECTION,
                    HttpHeader.PROXY_AUTHENTICATE,
                    HttpHeader.PROXY_AUTHORIZATION,
                    HttpHeader.TE,
                    HttpHeader.TRANSFER_ENCODING,
                    HttpHeader.UPGRADE);

    private ForwardedHeaders() {}

    /**
     * Copies a request's headers, adding {@code Via} (RFC 9110 section 7.6.3).
     *
     * <p>{@code Expect} is not forwarded: this hop itself answers 100-continue once the next hop
     * requests the body. The length is taken from the body, not from the header.
     */
    public static void copyRequest(HttpFields from, HttpFields.Mutable to) {
        copy(from, to, EnumSet.of(HttpHeader.EXPECT, HttpHeader.CONTENT_LENGTH));
        to.add(HttpHeader.VIA, VIA);
    }

    /** Copies a response's headers. */
    public static void copyResponse(HttpFields from, HttpFields.Mutable to) {
        copy(from, to, EnumSet.noneOf(HttpHeader.class));
    }

    private static void copy(HttpFields from, HttpFields.Mutable to, Set<HttpHeader> excluded) {
        Set<String> connectionOptions = connectionOptions(from);
        for (HttpField field : from) {
            HttpHeader header = field.getHeader();
            if (header != null && (PER_CONNECTION.contains(header) || excluded.contains(header))) {
                continue;
            }
            if (isFleetHeader(field) || connectionOptions.contains(field.getLowerCaseName())) {
                continue;
            }
            to.add(field);
        }
    }

    private static boolean isFleetHeader(HttpField field) {
        String prefix = HeaderNames.PREFIX;
        return field.getName().regionMatches(true, 0, prefix, 0, prefix.length());
    }

    private static Set<String> connectionOptions(HttpFields from) {
        if (!from.contains(HttpHeader.CONNECTION)) {
            return Set.of();
        }
        Set<String> names = new HashSet<>();
        for (String name : from.getCSV(HttpHeader.CONNECTION, false)) {
            names.add(name.toLowerCase(Locale.ROOT));
        }
        return names;
    }
}

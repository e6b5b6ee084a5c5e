package org.apricotgauge.http;

import java.util.List;
import org.apricotgauge.decision.access.Credentials;
import org.apricotgauge.model.KeyDigest;
import org.eclipse.jetty.http.HttpFields;
import org.eclipse.jetty.http.HttpHeader;

/**
 * Reads and removes the API key of a request: {@code Authorization: Bearer KEY} (RFC 6750, section
 * 2.1).
 */
public final class BearerKey {
    private static final String SCHEME = "Bearer ";

    private BearerKey() {}

    /** Returns the credentials in the headers, which hold only the digest of a key. */
    public static Credentials read(HttpFields headers) {
        List<String> values = headers.getValuesList(HttpHeader.AUTHORIZATION);
        if (values.isEmpty()) {
            return Credentials.NONE;
        }
        String value = values.get(0);
        if (values.size() > 1 || !value.regionMatches(true, 0, SCHEME, 0, SCHEME.length())) {
            return Credentials.UNREADABLE;
        }
        String key = value.substring(SCHEME.length()).strip();
        return key.isEmpty() ? Credentials.UNREADABLE : Credentials.ofKey(KeyDigest.of(key));
    }

    /** Removes the credentials, whatever their kind. */
    public static void removeFrom(HttpFields.Mutable headers) {
        headers.remove(HttpHeader.AUTHORIZATION);
    }
}

package org.apricotgauge.http;

import static org.assertj.core.api.Assertions.assertThat;

import org.apricotgauge.decision.access.Credentials;
import org.apricotgauge.model.KeyDigest;
import org.eclipse.jetty.http.HttpFields;
import org.junit.jupiter.api.Test;

/** Tests reading the API key of a request. */
class BearerKeyTest {
    private static final Credentials KEY = Credentials.ofKey(KeyDigest.of("k1"));

    @Test
    void schemeIsCaseInsensitive() {
        assertThat(read("Bearer k1")).isEqualTo(KEY);
        assertThat(read("bearer  k1 ")).isEqualTo(KEY);
    }

    @Test
    void rejectsMissingMalformedAndMultipleKeys() {
        assertThat(BearerKey.read(HttpFields.EMPTY)).isEqualTo(Credentials.NONE);
        assertThat(read("Basic azE6")).isEqualTo(Credentials.UNREADABLE);
        assertThat(read("Bearer ")).isEqualTo(Credentials.UNREADABLE);
        assertThat(read("Bearer k1", "Bearer k2")).isEqualTo(Credentials.UNREADABLE);
    }

    @Test
    void digestDoesNotRevealKey() {
        assertThat(KEY.toString()).doesNotContain("k1");
        assertThat(KeyDigest.parse(KeyDigest.of("k1").toString())).isEqualTo(KeyDigest.of("k1"));
    }

    private static Credentials read(String... values) {
        HttpFields.Mutable headers = HttpFields.build();
        for (String value : values) {
            headers.add("Authorization", value);
        }
        return BearerKey.read(headers);
    }
}

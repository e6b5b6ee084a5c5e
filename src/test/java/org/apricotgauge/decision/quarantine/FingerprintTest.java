package org.apricotgauge.decision.quarantine;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

class FingerprintTest {

    @Test
    void theHashOfTheHeadCoversEveryPart() {
        long head = Fingerprint.hashHead("GET", "a.example", "/x?y=1", "m");

        assertThat(Fingerprint.hashHead("GET", "a.example", "/x?y=1", "m")).isEqualTo(head);
        assertThat(Fingerprint.hashHead("PUT", "a.example", "/x?y=1", "m")).isNotEqualTo(head);
        assertThat(Fingerprint.hashHead("GET", "b.example", "/x?y=1", "m")).isNotEqualTo(head);
        assertThat(Fingerprint.hashHead("GET", "a.example", "/x?y=2", "m")).isNotEqualTo(head);
        assertThat(Fingerprint.hashHead("GET", "a.example", "/x?y=1", "n")).isNotEqualTo(head);
    }

    @Test
    void partsAreDelimited() {
        assertThat(Fingerprint.hashHead("GET", "a", "b/x", "m"))
                .isNotEqualTo(Fingerprint.hashHead("GET", "ab", "/x", "m"));
    }

    @Test
    void parseReversesToString() {
        Fingerprint fingerprint = new Fingerprint(-5, 7);

        assertThat(Fingerprint.parse(fingerprint.toString())).contains(fingerprint);
        assertThat(Fingerprint.parse("0123")).isEmpty();
        assertThat(Fingerprint.parse(null)).isEmpty();
        assertThat(Fingerprint.parse("xyz3456789abcdef-0123456789abcdef")).isEmpty();
    }
}

package org.apricotgauge.decision.quarantine;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

class FingerprintTest {

    @Test
    void everyPartOfTheHeadCounts() {
        long head = Fingerprint.headOf("GET", "a.example", "/x?y=1", "m");

        assertThat(Fingerprint.headOf("GET", "a.example", "/x?y=1", "m")).isEqualTo(head);
        assertThat(Fingerprint.headOf("PUT", "a.example", "/x?y=1", "m")).isNotEqualTo(head);
        assertThat(Fingerprint.headOf("GET", "b.example", "/x?y=1", "m")).isNotEqualTo(head);
        assertThat(Fingerprint.headOf("GET", "a.example", "/x?y=2", "m")).isNotEqualTo(head);
        assertThat(Fingerprint.headOf("GET", "a.example", "/x?y=1", "n")).isNotEqualTo(head);
    }

    @Test
    void partsDoNotRunIntoEachOther() {
        assertThat(Fingerprint.headOf("GET", "a", "b/x", "m"))
                .isNotEqualTo(Fingerprint.headOf("GET", "ab", "/x", "m"));
    }

    @Test
    void itsTextIsReadBack() {
        Fingerprint fingerprint = new Fingerprint(-5, 7);

        assertThat(Fingerprint.parse(fingerprint.toString())).contains(fingerprint);
        assertThat(Fingerprint.parse("0123")).isEmpty();
        assertThat(Fingerprint.parse(null)).isEmpty();
        assertThat(Fingerprint.parse("xyz3456789abcdef-0123456789abcdef")).isEmpty();
    }
}

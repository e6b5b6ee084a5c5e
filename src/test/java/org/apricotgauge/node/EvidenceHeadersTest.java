package org.apricotgauge.node;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.Optional;
import org.apricotgauge.decision.detection.EvidenceDigest;
import org.apricotgauge.http.HeaderNames;
import org.apricotgauge.model.Target;
import org.apricotgauge.time.ManualTicker;
import org.eclipse.jetty.http.HttpFields;
import org.junit.jupiter.api.Test;

class EvidenceHeadersTest {
    private static final Target TARGET = new Target("t", "s", "vm", "d", "127.0.0.1", 80, 3);
    private static final EvidenceDigest DIGEST =
            new EvidenceDigest(
                    EvidenceDigest.FORMAT_VERSION,
                    7,
                    9,
                    List.of(
                            new EvidenceDigest.TargetEvidence(
                                    "t",
                                    new EvidenceDigest.EvidenceCounts(3, 0, 1, 5, List.of(4L, 8L)),
                                    null)));

    private final ManualTicker mTicker = new ManualTicker();
    private final EvidenceHeaders mEvidenceHeaders = new EvidenceHeaders(mTicker, target -> DIGEST);

    @Test
    void roundTripsEvidence() {
        HttpFields.Mutable headers = HttpFields.build();
        mEvidenceHeaders.write(TARGET, headers);
        assertThat(EvidenceHeaders.read(headers)).contains(DIGEST);
    }

    @Test
    void ignoresUnreadableEvidence() {
        HttpFields headers = HttpFields.build().put(HeaderNames.EVIDENCE, "!!");
        assertThat(EvidenceHeaders.read(headers)).isEqualTo(Optional.empty());
    }

    @Test
    void boundsEvidenceBytesPerSecond() {
        // Evidence on each of a thousand responses a second would cost more than control traffic
        // may, so most responses carry none until the next second. Callers cannot observe this.
        mTicker.advanceMillis(1_000);
        int firstBytes = evidenceBytes(1_000);
        assertThat(firstBytes).isBetween(1, EvidenceHeaders.BYTES_PER_SECOND);
        assertThat(evidenceBytes(1_000)).isZero();
        mTicker.advanceMillis(1_000);
        assertThat(evidenceBytes(1_000)).isBetween(1, EvidenceHeaders.BYTES_PER_SECOND);
    }

    private int evidenceBytes(int responses) {
        int bytes = 0;
        for (int i = 0; i < responses; i++) {
            HttpFields.Mutable headers = HttpFields.build();
            mEvidenceHeaders.write(TARGET, headers);
            String text = headers.get(HeaderNames.EVIDENCE);
            bytes += text == null ? 0 : text.length();
        }
        return bytes;
    }
}

package org.apricotgauge.caller;

import static org.assertj.core.api.Assertions.assertThat;

import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.List;
import org.apricotgauge.decision.quarantine.BodyHash;
import org.apricotgauge.decision.quarantine.Fingerprint;
import org.apricotgauge.decision.quarantine.NoopQuarantineListener;
import org.apricotgauge.decision.quarantine.QuarantineTable;
import org.apricotgauge.http.ReplayableBody;
import org.apricotgauge.time.ManualTicker;
import org.eclipse.jetty.client.BytesRequestContent;
import org.eclipse.jetty.client.Request;
import org.eclipse.jetty.io.Content;
import org.junit.jupiter.api.Test;

class QuarantineCheckTest {
    private static final long HEAD = 7;
    private static final byte[] FIRST = {1, 2, 3};
    private static final byte[] SECOND = {4, 5};

    private final QuarantineTable mTable =
            new QuarantineTable(new ManualTicker(), new NoopQuarantineListener());
    private final ReplayableBody mBody =
            new ReplayableBody(new BytesRequestContent(FIRST, SECOND), 1_000);
    private int mHeadHashCount;

    // Guards against a fingerprint that depends on the number of attempts, so that crashes of one
    // request would not be counted together.
    @Test
    void resentBodyHasTheSameFingerprint() {
        QuarantineCheck check = check(true);
        check.hashed(mBody.open()).read();
        assertThat(check.fingerprint().isComplete()).isFalse();

        readAll(check.hashed(mBody.open()));

        assertThat(check.fingerprint()).isEqualTo(new Fingerprint(HEAD, hashOf(FIRST, SECOND)));
    }

    @Test
    void bodyDecidesForAQuarantinedHeadAndIsStillSentInFull() {
        quarantine(new Fingerprint(HEAD, hashOf(FIRST)));
        QuarantineCheck check = check(true);
        List<Long> quarantineMillis = new ArrayList<>();

        check.whenIdentified(() -> quarantineMillis.add(check.remainingQuarantineMillis()));

        assertThat(quarantineMillis).containsExactly(0L);
        assertThat(readAll(check.hashed(mBody.open()))).isEqualTo(FIRST.length + SECOND.length);
        quarantine(new Fingerprint(HEAD, hashOf(FIRST, SECOND)));
        assertThat(check.remainingQuarantineMillis()).isPositive();
    }

    // Guards against delaying bodies, or hashing heads, while nothing is quarantined.
    @Test
    void nothingIsReadWhileNothingIsQuarantined() {
        QuarantineCheck check = check(true);
        check.whenIdentified(() -> assertThat(check.remainingQuarantineMillis()).isZero());

        assertThat(mHeadHashCount).isZero();
        assertThat(readAll(mBody.open())).isEqualTo(FIRST.length + SECOND.length);
    }

    @Test
    void requestWithoutABodyIsIdentifiedByItsHead() {
        quarantine(new Fingerprint(HEAD, Fingerprint.NO_BODY));

        assertThat(check(false).remainingQuarantineMillis()).isPositive();
    }

    private QuarantineCheck check(boolean hasBody) {
        return new QuarantineCheck(
                mTable,
                () -> {
                    mHeadHashCount++;
                    return HEAD;
                },
                hasBody,
                mBody);
    }

    private void quarantine(Fingerprint fingerprint) {
        for (int crashId = 0; crashId < 3; crashId++) {
            mTable.recordCrash(List.of(fingerprint), crashId);
        }
    }

    private static int readAll(Request.Content content) {
        int bytes = 0;
        Content.Chunk chunk;
        do {
            chunk = content.read();
            bytes += chunk.remaining();
        } while (!chunk.isLast());
        return bytes;
    }

    private static long hashOf(byte[]... parts) {
        BodyHash hash = new BodyHash();
        for (byte[] part : parts) {
            hash.update(ByteBuffer.wrap(part));
        }
        hash.end();
        return hash.value();
    }
}

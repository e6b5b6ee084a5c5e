package org.apricotgauge.operator.review;

import static java.nio.charset.StandardCharsets.UTF_8;
import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.io.IOException;
import java.util.List;
import org.apricotgauge.config.ConfigHistory;
import org.apricotgauge.config.LogEntry;
import org.apricotgauge.config.Patch;
import org.apricotgauge.config.PatchCodec;
import org.apricotgauge.config.PatchOperation;
import org.apricotgauge.config.Rules;
import org.apricotgauge.config.SnapshotCodec;
import org.apricotgauge.model.Member;
import org.apricotgauge.platform.HttpPlatformClient;
import org.apricotgauge.standin.PlatformMode;
import org.apricotgauge.standin.PlatformStandin;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

class PlatformHistorySourceTest {
    private static final int ENTRIES = 1_100;

    private PlatformStandin mPlatform;
    private HttpPlatformClient mClient;
    private ConfigHistory mExpected = ConfigHistory.EMPTY;

    @BeforeEach
    void start() {
        mPlatform = PlatformStandin.start("127.0.0.1", 0);
        mClient = HttpPlatformClient.open(mPlatform.uri());
    }

    @AfterEach
    void stop() {
        mClient.close();
        mPlatform.close();
    }

    @Test
    void listOfSeveralPagesIsReadWhole() throws IOException {
        publish(ENTRIES);

        assertThat(read().digest()).isEqualTo(mExpected.digest());
    }

    @Test
    void snapshotAndTheEntriesAfterItGiveWhatTheListGives() throws IOException {
        publish(3);
        publishSnapshot(0);
        publish(2);
        long callsBefore = mPlatform.calls();

        assertThat(read().digest()).isEqualTo(mExpected.digest());
        assertThat(mPlatform.calls() - callsBefore).isEqualTo(3);
    }

    // The platform's snapshot is torn. A verdict on its content would be wrong, and no verdict
    // would
    // keep operators from working; the list itself has everything.
    @Test
    void tornSnapshotIsPassedOverForTheList() throws IOException {
        publish(3);
        publishSnapshot(7);

        assertThat(read().digest()).isEqualTo(mExpected.digest());
    }

    @Test
    void platformThatIsDownIsTold() {
        mPlatform.setMode(PlatformMode.DOWN);

        assertThatThrownBy(this::read)
                .isInstanceOf(IOException.class)
                .hasMessageStartingWith("the platform: status 503");
    }

    private ConfigHistory read() throws IOException {
        return new PlatformHistorySource(mClient).read();
    }

    private void publish(int count) {
        for (int i = 0; i < count; i++) {
            Member member = new Member("m" + mExpected.version(), 1);
            String body =
                    PatchCodec.encode(
                            new Patch(
                                    mExpected.version(),
                                    "almaz",
                                    "",
                                    Rules.FIRST,
                                    List.of(new PatchOperation.PutMember(member))));
            long position = mPlatform.append(body);
            mExpected = mExpected.apply(new LogEntry(position, body)).history();
        }
    }

    private void publishSnapshot(int missingBytes) {
        List<byte[]> chunks =
                SnapshotCodec.encode(mExpected).stream()
                        .map(SnapshotCodec::toJson)
                        .map(text -> text.substring(0, text.length() - missingBytes))
                        .map(text -> text.getBytes(UTF_8))
                        .toList();
        mPlatform.publishSnapshot(mExpected.position(), chunks);
    }
}

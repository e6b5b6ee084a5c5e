package org.apricotgauge.control;

import static org.assertj.core.api.Assertions.assertThat;

import org.apricotgauge.config.ConfigHistory;
import org.apricotgauge.platform.LogRecord;
import org.junit.jupiter.api.Test;

class ConfigHistoryFoldTest {
    private final ConfigHistoryFold mFold = new ConfigHistoryFold();

    @Test
    void refusedRecordAdvancesPositionButNotVersion() {
        ConfigHistory history = mFold.apply(mFold.empty(), new LogRecord(1, "no patch"));
        assertThat(mFold.position(history)).isEqualTo(1);
        assertThat(mFold.version(history)).isZero();
        assertThat(mFold.digest(history)).isNotEqualTo(mFold.digest(mFold.empty()));
    }

    @Test
    void decodedSnapshotHasSameDigest() {
        ConfigHistory history = mFold.apply(mFold.empty(), new LogRecord(1, "no patch"));
        ConfigHistory decoded = mFold.decode(mFold.encode(history));
        assertThat(mFold.digest(decoded)).isEqualTo(mFold.digest(history));
        assertThat(mFold.position(decoded)).isEqualTo(1);
    }
}

package org.apricotgauge.config;

import static java.nio.charset.StandardCharsets.UTF_8;
import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

class LogEntryTest {

    // The platform's JSON holds half of a surrogate pair. The node that reads it there has a text
    // that
    // UTF-8 cannot carry; its peers get another one, and their digests differ for good.
    @Test
    void entryIsTheSameBeforeAndAfterItWasSent() {
        LogEntry read = new LogEntry(1, "{\"note\": \"\ud800\"}");
        LogEntry sent = new LogEntry(1, new String(read.body().getBytes(UTF_8), UTF_8));

        assertThat(sent).isEqualTo(read);
    }
}

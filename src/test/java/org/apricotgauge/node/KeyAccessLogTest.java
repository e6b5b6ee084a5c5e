package org.apricotgauge.node;

import static org.assertj.core.api.Assertions.assertThat;

import ch.qos.logback.classic.Level;
import ch.qos.logback.classic.Logger;
import ch.qos.logback.classic.spi.ILoggingEvent;
import ch.qos.logback.core.read.ListAppender;
import java.util.List;
import org.apricotgauge.model.Configuration;
import org.apricotgauge.model.KeyDigest;
import org.apricotgauge.model.Member;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.slf4j.LoggerFactory;

/** Tests what the log tells of the site's API keys. */
class KeyAccessLogTest {
    private static final Configuration KEYED =
            Configuration.EMPTY
                    .withKeysRequired(true)
                    .withMember(new Member("stable", 1, List.of(KeyDigest.of("k1")), null, null));
    private static final Configuration NO_KEY_LEFT = KEYED.withMember(new Member("stable", 1));

    private final ListAppender<ILoggingEvent> mLines = new ListAppender<>();
    private final Logger mLogger = (Logger) LoggerFactory.getLogger(KeyAccessLog.class);
    private final KeyAccessLog mLog = new KeyAccessLog();
    private Level mLevel;

    @BeforeEach
    void start() {
        mLevel = mLogger.getLevel();
        mLogger.setLevel(Level.INFO);
        mLines.start();
        mLogger.addAppender(mLines);
    }

    @AfterEach
    void stop() {
        mLogger.detachAppender(mLines);
        mLogger.setLevel(mLevel);
    }

    // Guards against a version without keys, or without the need for them, that nobody notices.
    @Test
    void warnsOnceOfAVersionThatEndsTheKeys() {
        assertThat(linesOf(Configuration.EMPTY, KEYED)).containsExactly("requests need API keys");
        assertThat(linesOf(KEYED, NO_KEY_LEFT)).containsExactly("no API key is left");
        assertThat(linesOf(NO_KEY_LEFT, NO_KEY_LEFT)).isEmpty();
        assertThat(linesOf(NO_KEY_LEFT, KEYED)).containsExactly("API keys are there again");
        assertThat(linesOf(KEYED, Configuration.EMPTY))
                .containsExactly("requests need no API key any more");
        assertThat(linesOf(Configuration.EMPTY, NO_KEY_LEFT))
                .containsExactly("requests need API keys", "no API key is left");
    }

    private List<String> linesOf(Configuration before, Configuration after) {
        mLines.list.clear();
        mLog.configurationChanged(2, before, after);
        return mLines.list.stream().map(ILoggingEvent::getFormattedMessage).toList();
    }
}

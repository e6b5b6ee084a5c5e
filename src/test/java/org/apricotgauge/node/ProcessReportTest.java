package org.apricotgauge.node;

import static org.assertj.core.api.Assertions.assertThat;

import ch.qos.logback.classic.Level;
import ch.qos.logback.classic.Logger;
import ch.qos.logback.classic.spi.ILoggingEvent;
import ch.qos.logback.core.read.ListAppender;
import java.net.Socket;
import java.util.List;
import org.apricotgauge.bench.LocalFleet;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.slf4j.LoggerFactory;

/** Tests the first and the last line of a stop. */
class ProcessReportTest {
    private final ListAppender<ILoggingEvent> mLines = new ListAppender<>();
    private final Logger mLogger = (Logger) LoggerFactory.getLogger(ProcessReport.class);
    private Level mLevelBefore;

    @BeforeEach
    void listen() {
        mLevelBefore = mLogger.getLevel();
        mLogger.setLevel(Level.INFO);
        mLines.start();
        mLogger.addAppender(mLines);
    }

    @AfterEach
    void leave() {
        mLogger.detachAppender(mLines);
        mLogger.setLevel(mLevelBefore);
    }

    // Guards against a process killed while it closes, whose log looks like that of one that ended.
    @Test
    void theLastLineFollowsTheCloseOfBothPorts() throws Exception {
        try (LocalFleet fleet = new LocalFleet()) {
            Node node = fleet.startNode("vm-a");
            fleet.settle();
            try (Socket caller = new Socket("127.0.0.1", node.callerPort());
                    Socket guard = new Socket("127.0.0.1", node.guardPort())) {
                node.drainForExit();

                assertThat(messages()).hasSize(2);
                assertThat(messages().get(0)).contains("stop begins");
                assertThat(messages().get(1)).contains("process ends");
                caller.setSoTimeout(1);
                guard.setSoTimeout(1);
                assertThat(caller.getInputStream().read()).isEqualTo(-1);
                assertThat(guard.getInputStream().read()).isEqualTo(-1);
            }
        }
    }

    // Guards against a kill at the end of the grace time that no line of the log foretells.
    @Test
    void theFirstLineTellsWhenTheKillIsDue() {
        ProcessReport.logBegin(5_700, 6_000, 8);

        assertThat(mLines.list.get(0).getMDCPropertyMap().get("change"))
                .contains("\"remainingMillis\":5700", "\"killMillis\":6000", "\"killAt\":\"20");
    }

    // Guards against requests that a closing process leaves unread, and nobody knows of.
    @Test
    void theLastLineTellsWhatWasLeft() throws Exception {
        try (LocalFleet fleet = new LocalFleet()) {
            fleet.startNode("vm-a").drainForExit();
        }

        assertThat(mLines.list.get(1).getMDCPropertyMap().get("change"))
                .contains("entryPortMillis", "guardPortMillis")
                .contains("\"entry\":{\"open\":0,\"inFlight\":0,\"unread\":0,\"unsent\":0}");
    }

    private List<String> messages() {
        return mLines.list.stream().map(ILoggingEvent::getFormattedMessage).toList();
    }
}

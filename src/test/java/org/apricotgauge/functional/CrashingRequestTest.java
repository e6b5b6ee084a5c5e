package org.apricotgauge.functional;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.locks.LockSupport;
import org.apricotgauge.bench.LocalFleet;
import org.apricotgauge.node.Node;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Real nodes before targets that end under a request which comes again and again. */
class CrashingRequestTest {
    private static final int NODES = 6;
    private static final int CRASHES = 3;

    /** Copies that may still run once the fleet has had its time to learn of the third crash. */
    private static final int MOST_RUNS_AFTER = 3;

    private static final long MILLIS_TO_LEARN = 3_000;
    private static final int COPIES = 60;
    private static final long PAUSE_MILLIS = 100;

    private final LocalFleet mFleet = new LocalFleet();
    private final List<Node> mNodes = new ArrayList<>();
    private final List<CrashingTarget> mTargets = new ArrayList<>();
    private int mCopies;

    @BeforeEach
    void start() throws Exception {
        for (int i = 0; i < NODES; i++) {
            mNodes.add(mFleet.startNode("vm-" + i));
            mTargets.add(CrashingTarget.start((head, body) -> head.startsWith("GET /lethal ")));
            mFleet.putTarget("t-" + i, "vm-" + i, mTargets.get(i).port(), 3);
        }
        mFleet.settle();
    }

    @AfterEach
    void stop() throws IOException {
        mFleet.close();
        for (CrashingTarget target : mTargets) {
            target.close();
        }
    }

    // Guards against copies of one request that crash a target each, at any node, without end.
    @Test
    void aRequestThatCrashedThreeTargetsReachesNoMoreThanThreeMore() throws Exception {
        while (crashes() < CRASHES) {
            sendCopy();
        }
        pause(MILLIS_TO_LEARN);
        int runsBefore = lethalRuns();

        for (int i = 0; i < COPIES; i++) {
            sendCopy();
            pause(PAUSE_MILLIS);
        }

        assertThat(lethalRuns() - runsBefore).isLessThanOrEqualTo(MOST_RUNS_AFTER);
    }

    private void sendCopy() throws IOException {
        ask(mNodes.get(mCopies++ % NODES), "/lethal");
    }

    private static String ask(Node entry, String path) throws IOException {
        try (RawCaller caller = new RawCaller(entry.callerPort())) {
            return caller.request("GET", path).readAll();
        }
    }

    private int crashes() {
        return mTargets.stream().mapToInt(CrashingTarget::crashes).sum();
    }

    private int lethalRuns() {
        return mTargets.stream().mapToInt(CrashingTarget::lethalRuns).sum();
    }

    private static void pause(long millis) {
        LockSupport.parkNanos(millis * 1_000_000);
    }
}

package org.apricotgauge.functional;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import org.apricotgauge.bench.LocalFleet;
import org.apricotgauge.model.VmStatus;
import org.apricotgauge.node.Node;
import org.apricotgauge.operator.NodePhase;
import org.apricotgauge.standin.PlatformMode;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Planned stops, leaving targets and an absent platform, with whole nodes. */
class StopAndLeaveTest {
    private static final int IN_A_ROW = 20;
    private static final String OK = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";

    private final CountDownLatch mGo = new CountDownLatch(1);
    private LocalFleet mFleet;
    private Node mA;
    private Node mB;
    private Node mC;
    private RawTarget mTargetA;
    private RawTarget mTargetB;

    @BeforeEach
    void start() throws IOException {
        RawTarget.Script script =
                (head, body, out) -> {
                    if (head.contains("/wait")) {
                        mGo.await();
                    }
                    out.write(OK.getBytes(StandardCharsets.US_ASCII));
                    return true;
                };
        mTargetA = RawTarget.start(script);
        mTargetB = RawTarget.start(script);
        mFleet = new LocalFleet();
        mA = mFleet.startNode("vm-a");
        mB = mFleet.startNode("vm-b");
        // An entry without targets of its own, which would get its work first.
        mC = mFleet.startNode("vm-c");
    }

    @AfterEach
    void stop() throws IOException {
        mGo.countDown();
        mFleet.close();
        mTargetA.close();
        mTargetB.close();
    }

    private static String ask(Node node, String method, String path) throws IOException {
        try (RawCaller caller = new RawCaller(node.callerPort())) {
            return caller.request(method, path, "Content-Length: 0").readAll();
        }
    }

    private static CompletableFuture<String> async(Node node, String method, String path) {
        return CompletableFuture.supplyAsync(
                () -> {
                    try {
                        return ask(node, method, path);
                    } catch (IOException e) {
                        throw new IllegalStateException(e);
                    }
                });
    }

    @Test
    void aPlannedStopOfTheEntryCutsNobodyOff() throws Exception {
        // The caller whose booking is at the target when its node is stopped gets its whole answer;
        // the next one on a kept connection is told to close it. Then the process is gone.
        mFleet.putTarget("b", "vm-b", mTargetB.port(), 3);
        mFleet.settle();
        try (RawCaller kept = new RawCaller(mA.callerPort())) {
            kept.send("GET / HTTP/1.1\r\nHost: site\r\n\r\n");
            assertThat(kept.readHead()).startsWith("HTTP/1.1 200");
            assertThat(kept.read(2)).isEqualTo("ok");
            CompletableFuture<String> inFlight = async(mA, "POST", "/once/wait");
            LocalFleet.await(() -> mTargetB.runs() == 2);

            CompletableFuture<Void> drained = drain(mA);
            LocalFleet.await(() -> mA.phase() == NodePhase.STOPPING);
            kept.send("GET / HTTP/1.1\r\nHost: site\r\n\r\n");
            assertThat(kept.readHead()).contains("Connection: close");
            LocalFleet.await(mA::isDraining);
            askOthersForAWhile();
            mGo.countDown();

            assertThat(inFlight.get()).endsWith("ok");
            drained.get();
        }
    }

    @Test
    void aPlannedStopOfTheGuardCutsNobodyOff() throws Exception {
        // The caller whose booking is at a target of the stopping VM gets its whole answer, and
        // later ones are served by the other VM.
        mFleet.putTarget("b", "vm-b", mTargetB.port(), 3);
        mFleet.settle();
        CompletableFuture<String> inFlight = async(mA, "POST", "/once/wait");
        LocalFleet.await(() -> mTargetB.runs() == 1);
        mFleet.putTarget("a", "vm-a", mTargetA.port(), 3);
        mFleet.settle();

        CompletableFuture<Void> drained = drain(mB);
        awaitOnlyTargetA();
        LocalFleet.await(mB::isDraining);
        askOthersForAWhile();
        mGo.countDown();

        assertThat(inFlight.get()).endsWith("ok");
        drained.get();
        assertThat(ask(mC, "POST", "/once")).endsWith("ok");
    }

    @Test
    void aLeavingTargetGetsNoNewWork() throws Exception {
        // Callers never notice. The platform lists the VM as leaving; once the list has spread, no
        // request reaches its target any more.
        mFleet.putTarget("a", "vm-a", mTargetA.port(), 3);
        mFleet.putTarget("b", "vm-b", mTargetB.port(), 3);
        mFleet.settle();

        mFleet.list("vm-b", mB.guardPort(), VmStatus.State.LEAVING);

        awaitOnlyTargetA();
        int before = mTargetB.runs();
        for (int i = 0; i < 2 * IN_A_ROW; i++) {
            assertThat(ask(mC, "GET", "/")).endsWith("ok");
        }
        assertThat(mTargetB.runs()).isEqualTo(before);
    }

    @Test
    void anAbsentPlatformChangesNothingForCallers() throws Exception {
        // Callers are served as before while the platform answers nobody.
        mFleet.putTarget("b", "vm-b", mTargetB.port(), 3);
        mFleet.settle();
        mFleet.platform().setMode(PlatformMode.DOWN);
        for (int i = 0; i < IN_A_ROW; i++) {
            assertThat(ask(mA, "POST", "/once")).endsWith("ok");
        }
        assertThat(mTargetB.runs()).isEqualTo(IN_A_ROW);
    }

    private static CompletableFuture<Void> drain(Node node) {
        return CompletableFuture.runAsync(
                () -> {
                    try {
                        node.drain();
                    } catch (InterruptedException e) {
                        throw new IllegalStateException(e);
                    }
                });
    }

    /** Gives a stop that does not wait for its requests the time to cut them off. */
    private void askOthersForAWhile() throws IOException {
        for (int i = 0; i < 5 * IN_A_ROW; i++) {
            assertThat(ask(mC, "GET", "/")).startsWith("HTTP/1.1 ");
        }
    }

    /** Waits until so many requests in a row went to the other VM's target. */
    private void awaitOnlyTargetA() {
        LocalFleet.await(
                () -> {
                    int before = mTargetB.runs();
                    for (int i = 0; i < IN_A_ROW; i++) {
                        try {
                            ask(mC, "GET", "/");
                        } catch (IOException e) {
                            throw new IllegalStateException(e);
                        }
                    }
                    return mTargetB.runs() == before;
                });
    }
}

package org.apricotgauge.functional;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.locks.LockSupport;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.apricotgauge.bench.LocalFleet;
import org.apricotgauge.config.PatchOperation;
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
            mTargets.add(CrashingTarget.start(CrashingRequestTest::isLethal));
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

    // Guards against the same for a request that must not repeat, and whose body makes it lethal;
    // others with its head are served as before.
    @Test
    void aLethalBodyIsHeldAndOtherBodiesAreServed() throws Exception {
        crashWith("/once/book", "lethal");
        int runsBefore = lethalRuns();

        for (Node node : mNodes) {
            String refusal = post(node, "/once/book", "lethal");
            assertThat(refusal).startsWith("HTTP/1.1 503").contains("quarantined");
            assertThat(refusal).contains("Retry-After: ");
            awaitServed(() -> post(node, "/once/book", "harmless"));
        }
        assertThat(lethalRuns()).isEqualTo(runsBefore);
    }

    // Guards against refusing a popular request that was at work whenever a target crashed.
    @Test
    void aPopularRequestIsServedAfterAWaveOfCrashes() throws Exception {
        awaitServed(() -> ask(mNodes.get(0), "/popular"));
        while (crashesSeen() < CRASHES) {
            List<CompletableFuture<String>> asked = new ArrayList<>();
            for (int i = 0; i < 2 * NODES; i++) {
                Node node = mNodes.get(i % NODES);
                asked.add(CompletableFuture.supplyAsync(() -> askUnchecked(node, "/popular")));
            }
            LocalFleet.await(() -> mTargets.stream().anyMatch(target -> target.atWork() > 0));
            for (CrashingTarget target : mTargets) {
                target.crash();
            }
            asked.forEach(CompletableFuture::join);
            LocalFleet.await(() -> mTargets.stream().allMatch(CrashingTarget::isUp));
        }
        for (Node node : mNodes) {
            awaitServed(() -> ask(node, "/popular"));
        }
    }

    // Guards against a node that was not there when the crashes were told.
    @Test
    void aNodeThatStartsLaterRefusesItAtOnce() throws Exception {
        crashWith("/once/book", "lethal");
        Node late = mFleet.startNode("vm-late");
        mFleet.settle();
        int runsBefore = lethalRuns();
        pause(MILLIS_TO_LEARN);

        assertThat(post(late, "/once/book", "lethal")).contains("quarantined");
        assertThat(lethalRuns()).isEqualTo(runsBefore);
        assertThat(late.metrics().counter("entry.quarantined").getCount()).isEqualTo(1);
    }

    // Guards against a copy that goes past the guards, to a target without a node.
    @Test
    void targetsWithoutANodeCountAndAreKeptFromIt() throws Exception {
        CrashingTarget alone = CrashingTarget.start(CrashingRequestTest::isLethal);
        mTargets.add(alone);
        for (int i = 0; i < NODES; i++) {
            mFleet.publish(new PatchOperation.RemoveTarget("t-" + i));
        }
        mFleet.putTarget("t-alone", "vm-without-node", alone.port(), 3);
        mFleet.settle();
        while (crashes() < CRASHES) {
            ask(mNodes.get(0), "/lethal");
            LocalFleet.await(alone::isUp);
        }
        pause(MILLIS_TO_LEARN);
        int runsBefore = lethalRuns();

        for (Node node : mNodes) {
            assertThat(ask(node, "/lethal")).contains("quarantined");
            awaitServed(() -> ask(node, "/plain"));
        }
        assertThat(lethalRuns()).isEqualTo(runsBefore);
    }

    // Guards against a copy with an Idempotency-Key, which goes by the home of its key.
    @Test
    void aKeyIsNoWayRoundTheHold() throws Exception {
        crashWith("/once/book", "lethal");
        int runsBefore = lethalRuns();

        for (int i = 0; i < COPIES; i++) {
            Node node = mNodes.get(i % NODES);
            String answer = post(node, "/once/book", "lethal", "Idempotency-Key: k" + i);
            assertThat(answer).startsWith("HTTP/1.1 503");
        }
        assertThat(lethalRuns()).isEqualTo(runsBefore);
    }

    @Test
    void whatAnOperatorLiftsRunsAgain() throws Exception {
        crashWith("/once/book", "lethal");
        int runsBefore = lethalRuns();
        String held = admin("GET", "/v1/quarantine");
        Matcher fingerprint = Pattern.compile("\"fingerprint\":\"([^\"]+)\"").matcher(held);
        assertThat(fingerprint.find()).isTrue();

        String lifted = admin("POST", "/v1/quarantine/lift?fingerprint=" + fingerprint.group(1));

        assertThat(lifted).contains("lifted");
        pause(MILLIS_TO_LEARN);
        post(mNodes.get(NODES - 1), "/once/book", "lethal");
        assertThat(lethalRuns()).isGreaterThan(runsBefore);
    }

    private static boolean isLethal(String head, byte[] body) {
        return head.startsWith("GET /lethal ")
                || new String(body, StandardCharsets.US_ASCII).equals("lethal");
    }

    private void crashWith(String path, String body) throws Exception {
        while (crashes() < CRASHES) {
            post(mNodes.get(mCopies++ % NODES), path, body);
        }
        pause(MILLIS_TO_LEARN);
    }

    private static String askUnchecked(Node entry, String path) {
        try {
            return ask(entry, path);
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    private long crashesSeen() {
        return mNodes.stream()
                .mapToLong(node -> node.metrics().counter("quarantine.crashes").getCount())
                .sum();
    }

    /** Something that a caller asks. */
    private interface Question {
        String ask() throws IOException;
    }

    /** Waits until a request is served; targets that crashed come back, and suspicion fades. */
    private static void awaitServed(Question question) {
        LocalFleet.await(
                () -> {
                    try {
                        String answer = question.ask();
                        assertThat(answer).doesNotContain("quarantined");
                        return answer.startsWith("HTTP/1.1 200");
                    } catch (IOException e) {
                        throw new UncheckedIOException(e);
                    }
                });
    }

    private static String post(Node entry, String path, String body, String... headers)
            throws IOException {
        String[] all = Arrays.copyOf(headers, headers.length + 1);
        all[headers.length] = "Content-Length: " + body.length();
        try (RawCaller caller = new RawCaller(entry.callerPort())) {
            return caller.request("POST", path, all).send(body).readAll();
        }
    }

    private String admin(String method, String path) throws IOException {
        try (RawCaller caller = new RawCaller(mNodes.get(0).adminPort())) {
            return caller.request(method, path).readAll();
        }
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

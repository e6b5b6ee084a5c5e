package org.apricotgauge.functional;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.stream.IntStream;
import org.apricotgauge.bench.LocalFleet;
import org.apricotgauge.config.PatchOperation;
import org.apricotgauge.model.Address;
import org.apricotgauge.model.Member;
import org.apricotgauge.node.Node;
import org.apricotgauge.predecessor.SharePolicy;
import org.apricotgauge.standin.Fault;
import org.apricotgauge.standin.LoadGenerator;
import org.apricotgauge.standin.LoadPlan;
import org.apricotgauge.standin.LoadReport;
import org.apricotgauge.standin.PredecessorStandin;
import org.apricotgauge.standin.StandinHeaders;
import org.apricotgauge.standin.TargetStandin;
import org.apricotgauge.standin.Told;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** The whole move from the older system to the fleet, with whole nodes under load. */
class MovingInTest {
    private static final int RATE_PER_SECOND = 80;
    private static final int SECONDS = 1;
    private static final int SENT = RATE_PER_SECOND * SECONDS;

    /** What the stand-in answers to request b-1 in 9 bytes. */
    private static final String ANSWER = "b-1c.2d/3";

    private final List<TargetStandin> mTargets = new ArrayList<>();
    private final Map<String, Told> mOrders = new TreeMap<>();
    private LocalFleet mFleet;
    private PredecessorStandin mOlder;
    private List<Address> mEntries;

    @BeforeEach
    void start() throws IOException {
        mFleet = new LocalFleet();
        List<Node> nodes = new ArrayList<>();
        for (String vm : List.of("vm-a", "vm-b")) {
            nodes.add(mFleet.startNode(vm));
            TargetStandin target =
                    TargetStandin.start(
                            new TargetStandin.Settings("t-" + vm, "127.0.0.1", 0, 200, 2_000, 7));
            mTargets.add(target);
            mFleet.putTarget("t-" + vm, vm, target.port(), 100);
        }
        mFleet.settle();
        mEntries = nodes.stream().map(node -> new Address("127.0.0.1", node.callerPort())).toList();
        mOlder =
                PredecessorStandin.start(
                        "127.0.0.1",
                        0,
                        mTargets.stream()
                                .map(target -> new Address("127.0.0.1", target.port()))
                                .toList());
        mFleet.publish(
                new PatchOperation.SetPredecessor(
                        LocalFleet.SERVICE, new Address("127.0.0.1", mOlder.port())),
                new PatchOperation.SetFleetShare(LocalFleet.SERVICE, 0));
        mFleet.settle();
    }

    @AfterEach
    void stop() {
        mFleet.close();
        mOlder.close();
        mTargets.forEach(TargetStandin::close);
    }

    private void serveWhileMovingTo(String name, int sharePercent) throws InterruptedException {
        mFleet.publish(new PatchOperation.SetFleetShare(LocalFleet.SERVICE, sharePercent));
        load(name);
        mFleet.settle();
    }

    /** Sends a load while the share stands; each side gets its own buckets, whatever the entry. */
    private void serve(String name, int sharePercent) throws InterruptedException {
        int before = mOlder.served();
        LoadReport report = load(name);

        long expected =
                IntStream.range(0, SENT)
                        .mapToObj(i -> name + '-' + i)
                        .map(id -> (report.orders().containsKey(id) ? "/once/" : "/read/") + id)
                        .mapToInt(MovingInTest::bucketOf)
                        .filter(bucket -> !SharePolicy.isServedByFleet(bucket, sharePercent))
                        .count();
        assertThat(mOlder.served() - before).as(name).isEqualTo((int) expected);
    }

    private static int bucketOf(String path) {
        return SharePolicy.bucketOf(LocalFleet.SERVICE, Member.ANONYMOUS_ID, "127.0.0.1", path);
    }

    /** Sends requests that all differ in their paths; all must be answered rightly. */
    private LoadReport load(String name) throws InterruptedException {
        LoadPlan plan =
                new LoadPlan(
                        mEntries,
                        RATE_PER_SECOND,
                        SECONDS,
                        50,
                        "/read/" + LoadPlan.ID,
                        "/once/" + LoadPlan.ID,
                        500,
                        20_000);
        LoadReport report = new LoadGenerator(name, plan, 7).run();
        assertThat(report.count(Told.ANSWERED)).as("%s", report.told()).isEqualTo(SENT);
        mOrders.putAll(report.orders());
        return report;
    }

    @Test
    void theWholeMoveIsNotSeenByCallers() throws Exception {
        // Callers send reads and bookings at 0, 1, 50 and 100 percent, while the share moves, one
        // step back, and after the older system was switched off; one target is slow all the time.
        // Every answer is whole and right, and every booking has run exactly once.
        mTargets.get(0).setFault(new Fault(0, 0, 3.0, 0, 0));
        serve("at0", 0);
        serveWhileMovingTo("to1", 1);
        serve("at1", 1);
        serveWhileMovingTo("to50", 50);
        serve("at50", 50);
        serveWhileMovingTo("to100", 100);
        serve("at100", 100);
        serveWhileMovingTo("backTo50", 50);
        serve("backAt50", 50);
        serveWhileMovingTo("again100", 100);
        mOlder.close();
        serve("off", 100);
        mFleet.publish(new PatchOperation.SetPredecessor(LocalFleet.SERVICE, null));
        mFleet.settle();
        serve("gone", 100);

        assertThat(runsOfOrders()).isEqualTo(expectedOnce());
    }

    @Test
    void aKeyBookedBeforeTheMoveIsNotBookedAgainAfterIt() throws Exception {
        // The nodes have only just started and know no history of keys. The older system's share is
        // served all the same; after the move the same key gets the first answer at another node.
        String first = book(0);
        assertThat(first).startsWith("HTTP/1.1 200").endsWith(ANSWER);
        mFleet.publish(new PatchOperation.SetFleetShare(LocalFleet.SERVICE, 100));
        mFleet.settle();

        assertThat(book(1)).startsWith("HTTP/1.1 200").endsWith(ANSWER);
        assertThat(mTargets.stream().mapToLong(target -> target.stats().runs()).sum()).isOne();
    }

    private String book(int entry) throws IOException {
        try (RawCaller caller = new RawCaller(mEntries.get(entry).port())) {
            return caller.request(
                            "POST",
                            "/once",
                            "Content-Length: 0",
                            "Idempotency-Key: k-1",
                            StandinHeaders.REQUEST_ID + ": b-1",
                            StandinHeaders.ANSWER_BYTES + ": 9")
                    .readAll();
        }
    }

    private Map<String, Integer> expectedOnce() {
        Map<String, Integer> once = new TreeMap<>();
        mOrders.keySet().forEach(id -> once.put(id, 1));
        return once;
    }

    private Map<String, Integer> runsOfOrders() {
        Map<String, Integer> runs = new TreeMap<>();
        for (TargetStandin target : mTargets) {
            for (String line : target.runs().lines().toList()) {
                String[] parts = line.split(" ");
                if (mOrders.containsKey(parts[0])) {
                    runs.merge(parts[0], Integer.parseInt(parts[1]), Integer::sum);
                }
            }
        }
        return runs;
    }
}

package org.apricotgauge.node;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.stream.Stream;
import org.apricotgauge.bench.LocalFleet;
import org.apricotgauge.http.HttpClientFactory;
import org.apricotgauge.model.Address;
import org.apricotgauge.operator.NodePhase;
import org.apricotgauge.platform.kv.KvStandin;
import org.apricotgauge.time.Ticker;
import org.eclipse.jetty.client.ContentResponse;
import org.eclipse.jetty.client.HttpClient;
import org.eclipse.jetty.http.HttpHeader;
import org.eclipse.jetty.util.thread.QueuedThreadPool;
import org.eclipse.jetty.util.thread.ScheduledExecutorScheduler;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;
import org.junit.jupiter.params.provider.ValueSource;

/** Entries among those of the targets that another writer of the platform's store left there. */
class OddRegistrationTest {
    private static final String KEY = "3nax7u27gxprymh2rryt";
    private static final String ODD = "i-odd";
    private static final int CALLS = 8;

    private final QueuedThreadPool mThreads = new QueuedThreadPool();
    private final ScheduledExecutorScheduler mTimers = new ScheduledExecutorScheduler("test", true);
    private final HttpClient mCaller =
            new HttpClientFactory(mThreads, mTimers)
                    .create("caller", new HttpClientFactory.Limits(5_000, 60_000, 4, 16));
    private KvStandin mPlatform;
    private Node mNode;

    @BeforeEach
    void start() throws Exception {
        mThreads.start();
        mTimers.start();
        HttpClientFactory.start(mCaller);
        mPlatform = KvStandin.start(SidecarNodes.host(0), 0);
        mPlatform.publishWithKey(SidecarNodes.host(0), SidecarNodes.SERVICE, KEY);
    }

    @AfterEach
    void stop() throws Exception {
        if (mNode != null) {
            mNode.close();
        }
        mPlatform.close();
        mCaller.stop();
        mTimers.stop();
        mThreads.stop();
    }

    private void startNode() throws Exception {
        mNode = SidecarNodes.start(0, SidecarNodes.freePorts(), mPlatform.port());
        LocalFleet.await(() -> mNode.phase() == NodePhase.SERVING && mNode.version() == 1);
    }

    static Stream<String> oddAddresses() {
        return Stream.of(
                "no-such-host.invalid:80",
                "999.1.1.1:80",
                "127.1:80",
                "[::1]:80",
                "127.0.0.1:70000",
                "127.0.0.1:-1",
                "127.0.0.1:0",
                "127.0.0.1:99999999999999999999",
                "127.0.0.1",
                ":80");
    }

    static Stream<String> oddTexts() {
        String entry = entry("127.0.0.1:81");
        return Stream.of(
                "[".repeat(20_000),
                "{\"a\":".repeat(20_000),
                entry.replace("\"v1\"", "{\"a\":".repeat(900) + "1" + "}".repeat(900)),
                entry.replace("\"info\"", "\"odd\":" + "[".repeat(20_000) + ",\"info\""),
                entry.replace("\"slots\":3", "\"slots\":" + "9".repeat(1_500)),
                entry.replace("\"slots\":3", "\"slots\":1e999999999"),
                entry.replace("\"slots\":3", "\"slots\":2147483647"),
                entry.replace("\"sequence\":1", "\"sequence\":9223372036854775807"),
                entry.replace("\"sequence\":1", "\"sequence\":-9223372036854775808"),
                entry.replace("\"coldRemainingMs\":0", "\"coldRemainingMs\":9223372036854775807"),
                "x".repeat(500_000));
    }

    private static String entry(String address) {
        return """
        {"address":"%s","info":{"service":"%s","version":"v1","zone":"hall","slots":3},
         "status":{"state":"ready","sequence":1,"coldRemainingMs":0}}
        """
                .formatted(address, SidecarNodes.SERVICE);
    }

    // Guards against an address that ends a node, or its requests, as messages are sent there.
    @ParameterizedTest
    @MethodSource("oddAddresses")
    void anAddressThatNobodyCanHaveLeavesTheNodeServing(String address) throws Exception {
        startNode();
        mPlatform.write(ODD, entry(address));
        mPlatform.publishKeys(2, SidecarNodes.SERVICE, List.of(KEY, "second"));
        LocalFleet.await(() -> mNode.version() == 2);

        assertServes();
    }

    // Guards against an exception at the sender, which would end the node, for one odd address.
    @ParameterizedTest
    @ValueSource(strings = {"no-such-host.invalid", "999.1.1.1", "::1", "255.255.255.255"})
    void aDatagramThatCannotBeSentIsLost(String host) throws Exception {
        Address own = new Address(SidecarNodes.host(0), SidecarNodes.freePorts().get(0));
        try (DatagramPort port = DatagramPort.open(own, "test", Ticker.system())) {
            port.send(new byte[1], new Address(host, 80));
        }
    }

    // Guards against an entry that stops a node from following the store.
    @ParameterizedTest
    @MethodSource("oddTexts")
    void anyEntryLeavesTheNodeFollowing(String text) throws Exception {
        startNode();
        mPlatform.write(ODD, entry("127.0.0.1:81"));
        mPlatform.write(ODD, text);
        mPlatform.publishKeys(2, SidecarNodes.SERVICE, List.of(KEY, "second"));
        LocalFleet.await(() -> mNode.version() == 2);
        assertServes();

        mPlatform.unregister(ODD);
        mPlatform.publishKeys(3, SidecarNodes.SERVICE, List.of(KEY, "third"));
        LocalFleet.await(() -> mNode.version() == 3);
        assertServes();
    }

    // Guards against a node that can't start while odd entries are in the store.
    @Test
    void aNodeStartsBesideOddEntries() throws Exception {
        int number = 0;
        for (String text :
                Stream.concat(oddTexts(), oddAddresses().map(OddRegistrationTest::entry))
                        .toList()) {
            number++;
            mPlatform.write(ODD + number, text);
        }
        startNode();

        assertServes();
        mNode.drain();
        assertThat(mNode.brokenInvariant()).isNotDone();
    }

    /** Calls as a member with a limit, so that its use is counted at another node, if there is. */
    private void assertServes() throws Exception {
        for (int i = 0; i < CALLS; i++) {
            assertThat(call("c" + i).getStatus()).isEqualTo(200);
        }
        assertThat(mNode.brokenInvariant()).isNotDone();
    }

    private ContentResponse call(String id) throws Exception {
        return mCaller.newRequest(SidecarNodes.host(0), mNode.callerPort())
                .path(KvStandin.PATH)
                .headers(
                        headers -> {
                            KvStandin.address(headers, id);
                            headers.put(HttpHeader.AUTHORIZATION, "Bearer " + KEY);
                        })
                .send();
    }
}

package org.apricotgauge.node;

import static org.assertj.core.api.Assertions.assertThat;

import ch.qos.logback.classic.Level;
import ch.qos.logback.classic.Logger;
import ch.qos.logback.classic.spi.ILoggingEvent;
import ch.qos.logback.core.read.ListAppender;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.apricotgauge.bench.LocalFleet;
import org.apricotgauge.cli.CommandOutcome;
import org.apricotgauge.directory.PageCodec;
import org.apricotgauge.directory.PublishedPage;
import org.apricotgauge.http.HttpClientFactory;
import org.apricotgauge.http.client.UpstreamClient;
import org.apricotgauge.http.client.UpstreamClientFactory;
import org.apricotgauge.model.Address;
import org.apricotgauge.model.StorePosition;
import org.apricotgauge.operator.NodePhase;
import org.apricotgauge.platform.kv.KvDecoder;
import org.apricotgauge.platform.kv.KvDialect;
import org.apricotgauge.platform.kv.KvSource;
import org.apricotgauge.platform.kv.KvStandin;
import org.apricotgauge.platform.kv.SiteRoute;
import org.eclipse.jetty.client.ContentResponse;
import org.eclipse.jetty.client.HttpClient;
import org.eclipse.jetty.http.HttpHeader;
import org.eclipse.jetty.util.thread.QueuedThreadPool;
import org.eclipse.jetty.util.thread.ScheduledExecutorScheduler;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.msgpack.jackson.dataformat.MessagePackFactory;
import org.slf4j.LoggerFactory;

/** Tests a node with entry, guard and target on a stand-in of the users' platform, over sockets. */
class SidecarOnPlatformTest {
    private static final String LOOPBACK = "127.0.0.1";

    private static final String KEY = "3nax7u27gxprymh2rryt";

    private static final List<String> ADMIN_PATHS =
            List.of(
                    "/v1/status",
                    "/v1/events?limit=500",
                    "/v1/quarantine",
                    "/v1/allotments",
                    "/v1/metrics",
                    "/v1/metrics.json");

    private final QueuedThreadPool mThreads = new QueuedThreadPool();
    private final ScheduledExecutorScheduler mTimers = new ScheduledExecutorScheduler("test", true);
    private final HttpClient mCaller =
            new HttpClientFactory(mThreads, mTimers)
                    .create("caller", new HttpClientFactory.Limits(5_000, 60_000, 4, 16));
    private final UpstreamClientFactory mPeers =
            new UpstreamClientFactory(mThreads, mTimers, 5_000);
    private KvStandin mPlatform;
    private Node mNode;
    private Address mGuard;

    @BeforeEach
    void start() throws Exception {
        mThreads.start();
        mTimers.start();
        HttpClientFactory.start(mCaller);
        mPeers.start();
        mPlatform = KvStandin.start(LOOPBACK, 0);
        mGuard = new Address(LOOPBACK, TestPorts.free());
        SidecarSettings settings = settings();
        mNode =
                Node.start(
                        settings.profile(new KvDialect(settings.service()), KvDialect.READY_PATH),
                        DirectoryControl.factory(
                                client -> new KvSource(client, settings.platform()),
                                new KvDecoder(),
                                settings.defaults(),
                                settings.times()),
                        node -> {});
    }

    @AfterEach
    void stop() throws Exception {
        mNode.close();
        mPlatform.close();
        mCaller.stop();
        mPeers.stop();
        mTimers.stop();
        mThreads.stop();
    }

    @Test
    void returnsUnavailableUntilConfigurationIsPublished() throws Exception {
        // Before the operator has published anything, a call gets 503, not 404, since its route may
        // exist. Afterwards it runs once, at the target, and returns the complete answer.
        assertThat(call("first").getStatus()).isEqualTo(503);

        mPlatform.publish(LOOPBACK, "desk");
        LocalFleet.await(() -> mNode.phase() == NodePhase.SERVING && mNode.version() == 1);
        ContentResponse answer = call("second");

        assertThat(answer.getStatus()).isEqualTo(200);
        assertThat(answer.getContentAsString()).isEqualTo("done second");
        assertThat(answer.getHeaders().getFieldNamesCollection())
                .noneMatch(name -> name.startsWith("Apricotgauge-"));
        assertThat(mPlatform.runs()).isEqualTo(1);
    }

    // Guards against API keys that leak through logs or the administration API.
    @Test
    void logsAndAdminResponsesContainNoKey() throws Exception {
        ListAppender<ILoggingEvent> log = new ListAppender<>();
        log.start();
        Logger root = (Logger) LoggerFactory.getLogger(org.slf4j.Logger.ROOT_LOGGER_NAME);
        Level originalLevel = root.getLevel();
        root.setLevel(Level.INFO);
        root.addAppender(log);
        try {
            mPlatform.publishWithKey(LOOPBACK, "desk", KEY);
            LocalFleet.await(() -> mNode.phase() == NodePhase.SERVING && mNode.version() == 1);

            assertThat(call("first", "Bearer " + KEY).getStatus()).isEqualTo(200);
            assertThat(call("second", "Bearer wrong-" + KEY).getStatus()).isEqualTo(401);
            assertThat(call("third", "Basic " + KEY).getStatus()).isEqualTo(401);
            assertThat(call("fourth").getStatus()).isEqualTo(401);
            assertThat(mPlatform.runs()).isEqualTo(1);
            for (String path : ADMIN_PATHS) {
                assertThat(admin(path)).doesNotContain(KEY);
            }
            assertThat(admin("/v1/allotments")).contains("\"member\":\"stable\"");
        } finally {
            root.detachAppender(log);
            root.setLevel(originalLevel);
        }
        assertThat(log.list).isNotEmpty();
        for (ILoggingEvent event : log.list) {
            assertThat(event.getFormattedMessage() + event.getMDCPropertyMap()).doesNotContain(KEY);
        }
    }

    // Guards against a site that lets every request through once its last key has been removed.
    @Test
    void deniesRequestsOnceTheLastKeyIsRemoved() throws Exception {
        mPlatform.publishWithKey(LOOPBACK, "desk", KEY);
        LocalFleet.await(() -> mNode.phase() == NodePhase.SERVING && mNode.version() == 1);
        assertThat(call("first", "Bearer " + KEY).getStatus()).isEqualTo(200);

        mPlatform.publishKeys(2, "desk", List.of());
        LocalFleet.await(() -> mNode.version() == 2);

        assertThat(call("second", "Bearer " + KEY).getStatus()).isEqualTo(401);
        assertThat(call("third").getStatus()).isEqualTo(401);
        assertThat(mPlatform.runs()).isEqualTo(1);
        assertThat(admin("/v1/metrics"))
                .contains("access_by_key 1")
                .contains("access_keys 0")
                .contains("entry_denied_key_unknown");

        mPlatform.publishKeys(3, "desk", List.of(KEY));
        LocalFleet.await(() -> mNode.version() == 3);
        assertThat(call("fourth", "Bearer " + KEY).getStatus()).isEqualTo(200);
    }

    // Guards against a request that runs at a service to which no version has sent it.
    @Test
    void pathWithoutLastSlashStaysWithTheShorterPrefix() throws Exception {
        SiteRoute work = new SiteRoute(KvStandin.PATH, "desk", false, 5_000);
        SiteRoute part = new SiteRoute(KvStandin.PATH + "part/", "yard", false, 5_000);
        mPlatform.publish(LOOPBACK, "desk");
        mPlatform.publishRoutes(2, List.of(work, part));
        LocalFleet.await(() -> mNode.phase() == NodePhase.SERVING && mNode.version() == 2);

        assertThat(callPath("first", KvStandin.PATH + "part").getStatus()).isEqualTo(200);
        assertThat(callPath("second", KvStandin.PATH + "part/1").getStatus()).isEqualTo(503);

        mPlatform.publishRoutes(3, List.of(part));
        LocalFleet.await(() -> mNode.version() == 3);
        assertThat(callPath("third", KvStandin.PATH + "part").getStatus()).isEqualTo(404);
    }

    private ContentResponse callPath(String id, String path) throws Exception {
        return mCaller.newRequest(LOOPBACK, mNode.callerPort())
                .path(path)
                .headers(headers -> KvStandin.address(headers, id))
                .send();
    }

    private String admin(String path) throws Exception {
        return mCaller.GET("http://" + LOOPBACK + ':' + mNode.adminPort() + path)
                .getContentAsString();
    }

    private ContentResponse call(String id, String authorization) throws Exception {
        return mCaller.newRequest(LOOPBACK, mNode.callerPort())
                .path(KvStandin.PATH)
                .headers(
                        headers -> {
                            KvStandin.address(headers, id);
                            headers.put(HttpHeader.AUTHORIZATION, authorization);
                        })
                .send();
    }

    @Test
    void peerReadsSiteFromThisNode() throws Exception {
        // A query returns the site and the age of the view, and a watch returns the next change.
        UpstreamClient client = mPeers.create(new UpstreamClientFactory.Limits(60_000, 4, 16));
        PeerSource peer = new PeerSource(client, new PageCodec(), mGuard);
        mPlatform.publish(LOOPBACK, "desk");
        LocalFleet.await(() -> mNode.version() == 1);

        PublishedPage page = peer.read(StorePosition.NONE, 0).get(10, TimeUnit.SECONDS);
        CompletableFuture<PublishedPage> change = peer.read(page.position(), 8_000);
        mPlatform.publish(LOOPBACK, "yard");

        assertThat(page.full()).isTrue();
        assertThat(page.items()).isNotEmpty();
        assertThat(page.isAgeKnown()).isTrue();
        assertThat(change.get(10, TimeUnit.SECONDS).items()).isNotEmpty();
    }

    @Test
    void pageOfEarlierReleaseHasUnknownAge() throws Exception {
        // Guards against a missing age that is read as 0 and so confirms a view of any age.
        byte[] page =
                new ObjectMapper(new MessagePackFactory())
                        .writeValueAsBytes(
                                Map.of("revision", 5, "whole", true, "items", List.of()));

        assertThat(new PageCodec().decode(page).isAgeKnown()).isFalse();
    }

    private ContentResponse call(String id) throws Exception {
        return callPath(id, KvStandin.PATH);
    }

    private SidecarSettings settings() throws IOException {
        List<String> flags =
                List.of(
                        "--failure-domain=hall",
                        "--service=desk",
                        "--caller-address=" + freeAddress(),
                        "--guard-address=" + mGuard,
                        "--admin-address=" + freeAddress(),
                        "--store-address=" + LOOPBACK + ':' + mPlatform.port(),
                        "--news-address=" + freeAddress(),
                        "--crash-news-address=" + freeAddress());
        return ((CommandOutcome.Ready<SidecarSettings>)
                        SidecarSettings.command().parse(flags, Map.of()))
                .settings();
    }

    private static String freeAddress() throws IOException {
        return LOOPBACK + ':' + TestPorts.free();
    }
}

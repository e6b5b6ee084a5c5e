package org.apricotgauge.operator;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import com.codahale.metrics.MetricRegistry;
import com.fasterxml.jackson.databind.json.JsonMapper;
import java.io.IOException;
import java.net.Socket;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.time.Instant;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.apricotgauge.event.EventCodec;
import org.apricotgauge.event.EventPage;
import org.apricotgauge.event.EventRing;
import org.apricotgauge.event.HybridClock;
import org.apricotgauge.event.VmLeaving;
import org.apricotgauge.time.ManualTicker;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

class AdminServerTest {
    private static final MemberUse USE = new MemberUse("stable", 5, 5, 40, 2, 1, "10.0.0.1:7000");
    private final HttpClient mClient = HttpClient.newHttpClient();
    private final ManualTicker mTicker = new ManualTicker();
    private final EventRing mRing =
            new EventRing("vm-1", 5, 8, new HybridClock(() -> Instant.ofEpochMilli(1_000)));
    private final MetricRegistry mMetrics = new MetricRegistry();
    private final OneHeld mQuarantine = new OneHeld();
    private volatile Readiness mReadiness = new Readiness(true, "serving");
    private AdminServer mServer;

    @BeforeEach
    void start() throws IOException {
        AdminSources sources =
                new AdminSources(
                        () -> mReadiness,
                        AdminServerTest::status,
                        mRing::read,
                        mQuarantine,
                        () -> List.of(USE),
                        mMetrics);
        mServer = new AdminServer(sources, "127.0.0.1", 0, mTicker);
        mServer.start();
    }

    @AfterEach
    void stop() {
        mServer.stop();
    }

    @ParameterizedTest
    @CsvSource(
            delimiter = '|',
            value = {
                "/events?since=x|400|since must be a whole number from 0 to",
                "/events?since=-1|400|was \"-1\"",
                "/events?since=9223372036854775808|400|since must be a whole number",
                "/v1/events?limit=0|400|limit must be a whole number from 1 to 500, was \"0\"",
                "/events?limit=501|400|limit must be",
                "/events?limit=|400|was \"\"",
                "/events?since=1&since=2|400|since is given more than once",
                "/events?from=1|400|unknown parameter \"from\"; allowed: limit, since",
                "/events?a%0Ab=1|400|unknown parameter \"a?b\"",
                "/events?since=%zz|400|",
                "/metrics?x=1|400|none is allowed here",
                "/status?service=a&x=1|400|unknown parameter \"x\"",
                "/stat|404|no such path",
                "/v2/status|404|no such path",
                "/|404|no such path"
            })
    void badQueryIsToldInOneLine(String path, int status, String line) throws Exception {
        String answer = raw(path);

        assertThat(answer).startsWith("HTTP/1.1 " + status);
        String body = answer.substring(answer.indexOf("\r\n\r\n") + 4);
        assertThat(body.lines()).hasSize(1);
        if (line != null) {
            assertThat(body).contains(line);
        }
    }

    @ParameterizedTest
    @ValueSource(strings = {"POST", "PUT", "DELETE", "OPTIONS", "PATCH"})
    void otherMethodsAreRefused(String method) throws Exception {
        HttpResponse<String> response = send(method, "/v1/status");

        assertThat(response.statusCode()).isEqualTo(405);
        assertThat(response.headers().firstValue("Allow")).contains("GET, HEAD");
    }

    @Test
    void allotmentsTellWhatMembersAskedOfTheNode() throws Exception {
        String body = get("/v1/allotments").body();

        assertThat(JsonMapper.builder().build().readValue(body, MemberUse[].class))
                .containsExactly(USE);
    }

    @Test
    void readyFollowsItsSource() throws Exception {
        assertThat(get("/ready").statusCode()).isEqualTo(200);
        mReadiness = new Readiness(false, "no configuration yet");

        assertThat(get("/v1/ready").statusCode()).isEqualTo(503);
        assertThat(get("/v1/ready").body()).isEqualTo("no configuration yet\n");
        assertThat(get("/live").statusCode()).isEqualTo(200);
    }

    @Test
    void statusIsReadBackAsItWasAndNarrowedToAService() throws Exception {
        JsonMapper mapper = JsonMapper.builder().build();

        assertThat(mapper.readValue(get("/v1/status").body(), NodeStatus.class))
                .isEqualTo(status().narrowed(Optional.empty()));
        assertThat(mapper.readValue(get("/status?service=roster").body(), NodeStatus.class))
                .isEqualTo(status());
        NodeStatus narrow = mapper.readValue(get("/status?service=other").body(), NodeStatus.class);
        assertThat(narrow.services()).isEmpty();
        assertThat(narrow.windows().get(0).services()).isEmpty();
    }

    @Test
    void eventsArePagedAndLossesTold() throws Exception {
        for (int i = 0; i < 10; i++) {
            mRing.record(new VmLeaving("vm-" + i, "peer"));
        }

        String body = get("/v1/events?since=1&limit=3").body();

        EventPage page = EventCodec.readPage(body);
        assertThat(page.events()).isEqualTo(mRing.read(1, 3).events());
        assertThat(page.lost()).isEqualTo(3);
        assertThat(page.nextSince()).isEqualTo(7);
        assertThat(page.isComplete()).isFalse();
    }

    @Test
    void metricsAreShownInBothForms() throws Exception {
        mMetrics.meter(MetricNames.labelled("caller.requests", "service", "a\"b")).mark(3);

        assertThat(get("/metrics").headers().firstValue("Content-Type"))
                .contains("text/plain; version=0.0.4; charset=utf-8");
        assertThat(get("/metrics").body())
                .contains("apricotgauge_caller_requests_total{service=\"a\\\"b\"} 3\n");
        assertThat(get("/metrics.json").body()).contains("\"meters\"");
    }

    /**
     * A script that polls without pause gets 429 with a time to come back; the probe of readiness
     * still gets its answer, else the script would take the node out of service.
     */
    @Test
    void requestsInASecondAreBoundedButReadinessIsNot() throws Exception {
        for (int i = 0; i < 40; i++) {
            assertThat(get("/status").statusCode()).isEqualTo(200);
        }

        HttpResponse<String> refused = get("/status");
        assertThat(refused.statusCode()).isEqualTo(429);
        assertThat(refused.headers().firstValue("Retry-After")).contains("1");
        assertThat(get("/ready").statusCode()).isEqualTo(200);
        assertThat(get("/metrics").statusCode()).isEqualTo(200);
        mTicker.advanceMillis(100);
        assertThat(get("/status").statusCode()).isEqualTo(200);
        assertThat(get("/status").statusCode()).isEqualTo(429);
    }

    @Test
    void metricsHaveABoundOfTheirOwnSinceTheyCostMost() throws Exception {
        for (int i = 0; i < 5; i++) {
            assertThat(get("/metrics").statusCode()).isEqualTo(200);
        }

        assertThat(get("/metrics.json").statusCode()).isEqualTo(429);
        assertThat(get("/status").statusCode()).isEqualTo(200);
        mTicker.advanceMillis(1_000);
        assertThat(get("/metrics.json").statusCode()).isEqualTo(200);
    }

    @Test
    void portInUseIsAnIoError() {
        AdminSources sources =
                new AdminSources(
                        () -> mReadiness,
                        AdminServerTest::status,
                        mRing::read,
                        mQuarantine,
                        () -> List.of(USE),
                        mMetrics);
        AdminServer second = new AdminServer(sources, "127.0.0.1", mServer.port(), mTicker);

        assertThatThrownBy(second::start).isInstanceOf(IOException.class);
        second.stop();
    }

    @Test
    void operatorsSeeAndLiftWhatIsHeld() throws Exception {
        assertThat(get("/v1/quarantine").body())
                .contains("\"request\":\"GET site/x\"")
                .contains("\"crashes\":3");

        assertThat(send("GET", "/v1/quarantine/lift?fingerprint=ab").statusCode()).isEqualTo(405);
        assertThat(send("POST", "/v1/quarantine/lift").statusCode()).isEqualTo(400);
        assertThat(send("POST", "/v1/quarantine/lift?fingerprint=cd").statusCode()).isEqualTo(404);
        assertThat(send("POST", "/v1/quarantine/lift?fingerprint=ab").statusCode()).isEqualTo(200);
        assertThat(get("/v1/quarantine").body()).isEqualTo("[]");
    }

    /** Holds one request, until it is lifted. */
    private static final class OneHeld implements AdminSources.QuarantineSource {
        private List<HeldRequest> mHeld = List.of(new HeldRequest("ab", "GET site/x", 3, 600_000));

        @Override
        public List<HeldRequest> read() {
            return mHeld;
        }

        @Override
        public boolean lift(String fingerprint) {
            boolean known = mHeld.stream().anyMatch(one -> one.fingerprint().equals(fingerprint));
            mHeld = known ? List.of() : mHeld;
            return known;
        }
    }

    private static NodeStatus status() {
        return new NodeStatus(
                "vm-1",
                "a",
                "0.1.0",
                5,
                NodePhase.SERVING,
                7,
                "ab",
                9,
                List.of(new ServiceStatus("roster", 9, List.of(), List.of("t1"))),
                List.of(
                        VersionWindow.of(
                                7, 100, Map.of("roster", new OutcomeCounts(5, 1, 2, 3, 1)))));
    }

    private HttpResponse<String> get(String path) throws Exception {
        return send("GET", path);
    }

    private HttpResponse<String> send(String method, String path) throws Exception {
        HttpRequest request =
                HttpRequest.newBuilder(URI.create("http://127.0.0.1:" + mServer.port() + path))
                        .method(method, HttpRequest.BodyPublishers.noBody())
                        .build();
        return mClient.send(request, HttpResponse.BodyHandlers.ofString());
    }

    /** Sends a path as it is; the client would not send a malformed one. */
    private String raw(String path) throws IOException {
        try (Socket socket = new Socket("127.0.0.1", mServer.port())) {
            String head = "GET " + path + " HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n";
            socket.getOutputStream().write(head.getBytes(StandardCharsets.UTF_8));
            return new String(socket.getInputStream().readAllBytes(), StandardCharsets.UTF_8);
        }
    }
}

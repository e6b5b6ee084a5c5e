package org.apricotgauge.node;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.net.ServerSocket;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeoutException;
import java.util.regex.Pattern;
import org.apricotgauge.bench.LocalFleet;
import org.apricotgauge.cli.CommandOutcome;
import org.apricotgauge.functional.CrashingTarget;
import org.apricotgauge.http.HttpClientFactory;
import org.apricotgauge.platform.kv.KvDecoder;
import org.apricotgauge.platform.kv.KvDialect;
import org.apricotgauge.platform.kv.KvSource;
import org.apricotgauge.platform.kv.KvStandin;
import org.eclipse.jetty.client.HttpClient;
import org.eclipse.jetty.util.thread.QueuedThreadPool;
import org.eclipse.jetty.util.thread.ScheduledExecutorScheduler;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Tests nodes of three VMs with crashing targets, on a stand-in of the users' platform. */
class SidecarCrashGossipTest {
    private static final int VMS = 3;
    private static final Pattern QUARANTINED = Pattern.compile("\"heldMillis\":[1-9]");
    private static final String CRASHING_PATH = KvStandin.PATH + "lethal";

    private final QueuedThreadPool mThreads = new QueuedThreadPool();
    private final ScheduledExecutorScheduler mTimers = new ScheduledExecutorScheduler("test", true);
    private final HttpClient mCaller =
            new HttpClientFactory(mThreads, mTimers)
                    .create("caller", new HttpClientFactory.Limits(5_000, 60_000, 4, 16));
    private final List<CrashingTarget> mTargets = new ArrayList<>();
    private final List<Node> mNodes = new ArrayList<>();
    private KvStandin mPlatform;
    private int mRequestCount;

    @BeforeEach
    void start() throws Exception {
        mThreads.start();
        mTimers.start();
        HttpClientFactory.start(mCaller);
        mPlatform = KvStandin.start(host(0), 0);
        List<Integer> ports = freePorts();
        List<String> addresses = new ArrayList<>();
        for (int vm = 0; vm < VMS; vm++) {
            CrashingTarget target =
                    CrashingTarget.start(host(vm), (head, body) -> head.contains(CRASHING_PATH));
            mTargets.add(target);
            addresses.add(host(vm) + ':' + target.port());
            mNodes.add(startNode(vm, ports));
        }
        mPlatform.publish("desk", addresses);
        LocalFleet.await(() -> mNodes.stream().allMatch(node -> node.version() == 1));
    }

    @AfterEach
    void stop() throws Exception {
        mNodes.forEach(Node::close);
        mPlatform.close();
        for (CrashingTarget target : mTargets) {
            target.close();
        }
        mCaller.stop();
        mTimers.stop();
        mThreads.stop();
    }

    // Guards against crashes that are known only at the nodes that observed them.
    @Test
    void allNodesQuarantineRequestThatCrashedThreeTargets() {
        LocalFleet.await(
                () -> {
                    sendCrashingRequest();
                    return mNodes.stream().allMatch(this::hasQuarantinedRequest);
                });

        int runs = mTargets.stream().mapToInt(CrashingTarget::lethalRuns).sum();
        for (int i = 0; i < 2 * VMS; i++) {
            sendCrashingRequest();
        }
        assertThat(mTargets.stream().mapToInt(CrashingTarget::lethalRuns).sum()).isEqualTo(runs);
    }

    private boolean hasQuarantinedRequest(Node node) {
        int vm = mNodes.indexOf(node);
        return QUARANTINED.matcher(get(vm, node.adminPort(), "/v1/quarantine")).find();
    }

    private void sendCrashingRequest() {
        int vm = mRequestCount++ % VMS;
        get(vm, mNodes.get(vm).callerPort(), CRASHING_PATH);
    }

    private String get(int vm, int port, String path) {
        try {
            return mCaller.newRequest(host(vm), port)
                    .path(path)
                    .headers(headers -> KvStandin.address(headers, "copy-" + mRequestCount))
                    .send()
                    .getContentAsString();
        } catch (InterruptedException | TimeoutException | ExecutionException e) {
            throw new IllegalStateException(e);
        }
    }

    private Node startNode(int vm, List<Integer> ports) throws IOException {
        List<String> flags =
                List.of(
                        "--failure-domain=hall",
                        "--service=desk",
                        "--caller-address=" + host(vm) + ':' + ports.get(0),
                        "--guard-address=" + host(vm) + ':' + ports.get(1),
                        "--admin-address=" + host(vm) + ':' + ports.get(2),
                        "--store-address=" + host(0) + ':' + mPlatform.port(),
                        "--news-address=" + host(vm) + ':' + ports.get(3),
                        "--crash-news-address=" + host(vm) + ':' + ports.get(4));
        SidecarSettings settings =
                ((CommandOutcome.Ready<SidecarSettings>)
                                SidecarSettings.command().parse(flags, Map.of()))
                        .settings();
        return Node.start(
                settings.profile(new KvDialect(settings.service()), KvDialect.READY_PATH),
                DirectoryControl.factory(
                        client -> new KvSource(client, settings.platform()),
                        new KvDecoder(),
                        settings.defaults(),
                        settings.times()));
    }

    private static String host(int vm) {
        return "127.0.0." + (vm + 1);
    }

    /** Returns ports that all VMs share, as on the platform. */
    private static List<Integer> freePorts() throws IOException {
        List<Integer> ports = new ArrayList<>();
        for (int i = 0; i < 5; i++) {
            try (ServerSocket socket = new ServerSocket(0)) {
                ports.add(socket.getLocalPort());
            }
        }
        return ports;
    }
}

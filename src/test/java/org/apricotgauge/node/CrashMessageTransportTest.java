package org.apricotgauge.node;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.net.DatagramPacket;
import java.net.DatagramSocket;
import java.net.InetAddress;
import java.util.Arrays;
import java.util.Collections;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.apricotgauge.decision.quarantine.CrashGossip;
import org.apricotgauge.decision.quarantine.CrashMessage;
import org.apricotgauge.model.Address;
import org.apricotgauge.time.Ticker;
import org.junit.jupiter.api.Test;

class CrashMessageTransportTest {
    private static final String LOOPBACK = "127.0.0.1";

    /** Payload of an Ethernet frame without the headers of IP and UDP. */
    private static final int DATAGRAM_BYTES = 1_472;

    @Test
    void largestMessageFitsOneDatagramAndRoundTrips() throws Exception {
        CrashMessage message = largest();
        byte[] bytes = CrashMessageTransport.encode(message);

        assertThat(bytes.length).isLessThanOrEqualTo(DATAGRAM_BYTES);
        assertThat(CrashMessageTransport.decode(bytes, bytes.length)).isEqualTo(message);
    }

    @Test
    @SuppressWarnings("try")
    void sendsMessageBetweenNodes() throws Exception {
        Address to = freeAddress();
        CompletableFuture<CrashMessage> received = new CompletableFuture<>();
        try (CrashMessageTransport receiver =
                        CrashMessageTransport.start(
                                to,
                                Ticker.system(),
                                (from, message) -> received.complete(message));
                CrashMessageTransport sender =
                        CrashMessageTransport.start(
                                freeAddress(), Ticker.system(), (from, message) -> {})) {
            sender.send(to, largest());

            assertThat(received.get(10, TimeUnit.SECONDS)).isEqualTo(largest());
        }
    }

    // Guards against a receiver thread that stops at a malformed datagram.
    @Test
    @SuppressWarnings("try")
    void ignoresMalformedDatagrams() throws Exception {
        Address to = freeAddress();
        CompletableFuture<CrashMessage> received = new CompletableFuture<>();
        byte[] complete = CrashMessageTransport.encode(largest());
        byte[] nil = {(byte) 0xC0};
        byte[] badKind =
                CrashMessageTransport.encode(new CrashMessage(CrashMessage.Kind.ASK, 1, List.of()));
        badKind[2] = 'X';
        try (CrashMessageTransport receiver =
                        CrashMessageTransport.start(
                                to,
                                Ticker.system(),
                                (from, message) ->
                                        message.lines()
                                                .forEach(line -> received.complete(message)));
                DatagramSocket sender = new DatagramSocket()) {
            for (int length = 0; length < complete.length; length += 50) {
                send(sender, to, Arrays.copyOf(complete, length));
            }
            send(sender, to, nil);
            send(sender, to, badKind);
            send(sender, to, complete);

            assertThat(received.get(10, TimeUnit.SECONDS)).isEqualTo(largest());
        }
    }

    private static void send(DatagramSocket sender, Address to, byte[] bytes) throws IOException {
        InetAddress host = InetAddress.getByName(to.host());
        sender.send(new DatagramPacket(bytes, bytes.length, host, to.port()));
    }

    // Guards against nodes that no other node queries: each node must be in every other's order
    // once.
    @Test
    void allNodesShareOnePeerOrder() {
        List<SiteMembers.Peer> nodes =
                List.of(peer("c", 3), peer("a", 2), peer("b", 9), peer("a", 1));

        CrashGossip.Peers ofFirst = QuarantineService.peersOf(without(nodes, 1), "a", address(1));
        CrashGossip.Peers ofThird = QuarantineService.peersOf(without(nodes, 9), "b", address(9));

        assertThat(ofFirst.successors()).containsExactly(address(2), address(9), address(3));
        assertThat(ofFirst.sameDomain()).containsExactly(address(2));
        assertThat(ofThird.successors()).containsExactly(address(3), address(1), address(2));
        assertThat(ofThird.sameDomain()).isEmpty();
    }

    private static List<SiteMembers.Peer> without(List<SiteMembers.Peer> nodes, int port) {
        return nodes.stream().filter(node -> node.address().port() != port).toList();
    }

    private static SiteMembers.Peer peer(String domain, int port) {
        return new SiteMembers.Peer(address(port), domain);
    }

    private static Address address(int port) {
        return new Address(LOOPBACK, port);
    }

    private static CrashMessage largest() {
        CrashMessage.Line line =
                new CrashMessage.Line(
                        Long.MIN_VALUE,
                        Long.MAX_VALUE,
                        -1_000_000,
                        Collections.nCopies(9, Long.MIN_VALUE),
                        Collections.nCopies(9, 36_000_000L));
        return new CrashMessage(
                CrashMessage.Kind.LAST_PART,
                Long.MIN_VALUE,
                Collections.nCopies(CrashMessage.MAX_LINES, line));
    }

    private static Address freeAddress() throws IOException {
        try (DatagramSocket socket = new DatagramSocket(0, InetAddress.getByName(LOOPBACK))) {
            return new Address(LOOPBACK, socket.getLocalPort());
        }
    }
}

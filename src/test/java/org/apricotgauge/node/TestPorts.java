package org.apricotgauge.node;

import java.io.IOException;
import java.net.ServerSocket;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Finds ports for nodes that are to start.
 *
 * <p>The kernel takes the local ports of connections from a range above these, so that none of them
 * is taken between its choice and the start of the node.
 */
final class TestPorts {
    private static final int FIRST = 20_000;
    private static final int COUNT = 12_000;

    /** Test processes that run side by side begin at different ports. */
    private static final AtomicInteger NEXT =
            new AtomicInteger((int) (ProcessHandle.current().pid() * 97 % COUNT));

    private TestPorts() {}

    /** Returns a port at which nothing listens. */
    static int free() throws IOException {
        IOException last = null;
        for (int i = 0; i < COUNT; i++) {
            int port = FIRST + Math.floorMod(NEXT.getAndIncrement(), COUNT);
            try (ServerSocket socket = new ServerSocket(port)) {
                return socket.getLocalPort();
            } catch (IOException e) {
                last = e;
            }
        }
        throw new IOException("no port is free", last);
    }
}

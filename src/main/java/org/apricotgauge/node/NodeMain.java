package org.apricotgauge.node;

import java.io.IOException;
import java.util.concurrent.CountDownLatch;
import java.util.function.Consumer;
import org.apricotgauge.cli.ExitCode;
import org.apricotgauge.log.Logs;
import org.jboss.logging.Logger;

/** The program {@code apricotgauge-node}; a SIGTERM drains the node. */
public final class NodeMain {

    private static final Logger LOGGER = Logger.getLogger(NodeMain.class);

    private NodeMain() {}

    /** Runs the program. */
    public static void main(String[] args) {
        NodeSettings.command().runAndExit(args, NodeMain::run);
    }

    private static ExitCode run(NodeSettings settings) throws IOException, InterruptedException {
        Logs.configureWithoutBlocking(settings.log(), System.out);
        return serve(
                onCreated ->
                        Node.start(
                                settings.profile(),
                                GossipControl.factory(settings.platform(), settings.seedPeers()),
                                onCreated));
    }

    /** Starts the node that a program serves with. */
    @FunctionalInterface
    interface Starter {
        /**
         * Starts the node.
         *
         * @param onCreated receives the node before it opens a port
         */
        Node start(Consumer<Node> onCreated) throws IOException;
    }

    /** Serves until a signal ends the process; a SIGTERM, also during the start, drains first. */
    static ExitCode serve(Starter starter) throws IOException, InterruptedException {
        // Settings are flags, which a running process can't reload.
        Signals.handle("HUP", () -> LOGGER.info("SIGHUP: flags do not change, nothing to reload"));
        CountDownLatch drained = new CountDownLatch(1);
        Node node =
                starter.start(
                        created ->
                                Runtime.getRuntime()
                                        .addShutdownHook(
                                                new Thread(
                                                        () -> drain(created, drained),
                                                        "node-drain")));
        node.brokenInvariant()
                .thenAccept(
                        failure -> {
                            LOGGER.fatal("invariant broken", failure);
                            Logs.end();
                            Runtime.getRuntime().halt(ExitCode.INVARIANT_BROKEN.code());
                        });
        drained.await();
        return ExitCode.OK;
    }

    private static void drain(Node node, CountDownLatch drained) {
        try {
            node.drainForExit();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        } finally {
            Logs.end();
            drained.countDown();
        }
    }
}

package org.apricotgauge.node;

import java.io.IOException;
import java.util.concurrent.CountDownLatch;
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
        return serve(Node.start(settings));
    }

    /** Serves until a signal ends the process; a SIGTERM drains the node first. */
    static ExitCode serve(Node node) throws InterruptedException {
        // Settings are flags, which a running process can't reload.
        Signals.handle("HUP", () -> LOGGER.info("SIGHUP: flags do not change, nothing to reload"));
        CountDownLatch drained = new CountDownLatch(1);
        Thread drain =
                new Thread(
                        () -> {
                            try {
                                node.drain();
                            } catch (InterruptedException e) {
                                Thread.currentThread().interrupt();
                            } finally {
                                Logs.end();
                                drained.countDown();
                            }
                        },
                        "node-drain");
        Runtime.getRuntime().addShutdownHook(drain);
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
}

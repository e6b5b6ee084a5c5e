package org.apricotgauge.node;

import java.io.IOException;
import java.util.concurrent.CountDownLatch;
import org.apricotgauge.cli.ExitCode;
import org.apricotgauge.log.Logs;
import org.jboss.logging.Logger;

/** The program {@code apricotgauge-node}; a SIGTERM drains it. */
public final class NodeMain {

    private NodeMain() {}

    /** Runs the program. */
    public static void main(String[] args) {
        NodeSettings.command().runAndExit(args, NodeMain::run);
    }

    private static ExitCode run(NodeSettings settings) throws IOException, InterruptedException {
        Logs.configure(settings.log());
        Node node = Node.start(settings);
        CountDownLatch drained = new CountDownLatch(1);
        Thread drain =
                new Thread(
                        () -> {
                            try {
                                node.drain();
                            } catch (InterruptedException e) {
                                Thread.currentThread().interrupt();
                            } finally {
                                drained.countDown();
                            }
                        },
                        "node-drain");
        Runtime.getRuntime().addShutdownHook(drain);
        node.broken()
                .thenAccept(
                        failure -> {
                            Logger.getLogger(NodeMain.class).fatal("invariant broken", failure);
                            Runtime.getRuntime().halt(ExitCode.INVARIANT_BROKEN.code());
                        });
        drained.await();
        return ExitCode.OK;
    }
}

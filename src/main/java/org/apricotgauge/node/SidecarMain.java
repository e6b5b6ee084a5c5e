package org.apricotgauge.node;

import java.io.IOException;
import java.util.function.Consumer;
import org.apricotgauge.cli.ExitCode;
import org.apricotgauge.log.Logs;
import org.apricotgauge.platform.kv.KvDecoder;
import org.apricotgauge.platform.kv.KvDialect;
import org.apricotgauge.platform.kv.KvSource;

/** The program {@code apricotgauge-sidecar}; a SIGTERM drains the node, a SIGHUP has no effect. */
public final class SidecarMain {

    private SidecarMain() {}

    /** Runs the program. */
    public static void main(String[] args) {
        SidecarSettings.command().runAndExit(args, SidecarMain::run);
    }

    private static ExitCode run(SidecarSettings settings) throws IOException, InterruptedException {
        Logs.configureWithoutBlocking(settings.log(), System.out);
        return NodeMain.serve(onCreated -> start(settings, onCreated));
    }

    /** Starts a node on the users' platform. */
    static Node start(SidecarSettings settings) throws IOException {
        return start(settings, node -> {});
    }

    /**
     * Starts a node on the users' platform.
     *
     * @param onCreated receives the node before it opens a port
     */
    static Node start(SidecarSettings settings, Consumer<Node> onCreated) throws IOException {
        NodeProfile profile =
                settings.profile(new KvDialect(settings.service()), KvDialect.READY_PATH);
        NodeControl.Factory control =
                DirectoryControl.factory(
                        client -> new KvSource(client, settings.platform()),
                        new KvDecoder(),
                        settings.defaults(),
                        settings.times());
        return Node.start(profile, control, onCreated);
    }
}

package org.apricotgauge.node;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.apricotgauge.cli.CommandOutcome;

/** Nodes on the users' platform in one process, each at its own loopback address. */
final class SidecarNodes {
    static final String SERVICE = "desk";

    private SidecarNodes() {}

    /** Returns the address of a VM. */
    static String host(int vm) {
        return "127.0.0." + (vm + 1);
    }

    /** Returns ports that all VMs share, as on the platform. */
    static List<Integer> freePorts() throws IOException {
        List<Integer> ports = new ArrayList<>();
        for (int i = 0; i < 5; i++) {
            ports.add(TestPorts.free());
        }
        return ports;
    }

    /**
     * Starts the node of a VM.
     *
     * @param ports the ports of {@link #freePorts}
     * @param storePort port of the platform's store at the first VM
     */
    static Node start(int vm, List<Integer> ports, int storePort) throws IOException {
        List<String> flags =
                List.of(
                        "--failure-domain=hall",
                        "--service=" + SERVICE,
                        "--caller-address=" + host(vm) + ':' + ports.get(0),
                        "--guard-address=" + host(vm) + ':' + ports.get(1),
                        "--admin-address=" + host(vm) + ':' + ports.get(2),
                        "--store-address=" + host(0) + ':' + storePort,
                        "--news-address=" + host(vm) + ':' + ports.get(3),
                        "--crash-news-address=" + host(vm) + ':' + ports.get(4));
        return SidecarMain.start(
                ((CommandOutcome.Ready<SidecarSettings>)
                                SidecarSettings.command().parse(flags, Map.of()))
                        .settings());
    }
}

package org.apricotgauge.bench.soak;

import java.util.Optional;
import org.apricotgauge.model.Checks;

/**
 * How many node processes fit into a machine's memory.
 *
 * @param machineBytes memory of the machine
 */
record FleetMemory(long machineBytes) {
    private static final long MEBIBYTE = 1L << 20;

    /** Heap of a node process at most. */
    static final int HEAP_MEBIBYTES = 96;

    /** What a node process takes beside its heap: classes, code, threads and buffers. */
    static final int OTHER_MEBIBYTES = 64;

    private static final long NODE_BYTES = (HEAP_MEBIBYTES + OTHER_MEBIBYTES) * MEBIBYTE;

    FleetMemory {
        Checks.inRange("machineBytes", machineBytes, 1, Long.MAX_VALUE);
    }

    /** Returns the most nodes that stay within half of the memory. */
    int maxNodes() {
        return (int) Math.min(Integer.MAX_VALUE, machineBytes / 2 / NODE_BYTES);
    }

    /** Returns why a number of nodes does not fit; empty if it does. */
    Optional<String> refusal(int nodes) {
        if (nodes <= maxNodes()) {
            return Optional.empty();
        }
        return Optional.of(
                "%d nodes of %d MB (heap %d, beside it %d) would take more than half of the"
                                .formatted(
                                        nodes,
                                        HEAP_MEBIBYTES + OTHER_MEBIBYTES,
                                        HEAP_MEBIBYTES,
                                        OTHER_MEBIBYTES)
                        + " machine's %d MB; at most %d fit"
                                .formatted(machineBytes / MEBIBYTE, maxNodes()));
    }
}

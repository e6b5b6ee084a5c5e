package org.apricotgauge.peer;

import com.codahale.metrics.Counter;
import com.codahale.metrics.MetricRegistry;

/** Counters of the traffic between nodes. */
record TransportCounters(
        Counter framesIn,
        Counter framesOut,
        Counter bytesIn,
        Counter bytesOut,
        Counter badFrames,
        Counter overflows) {

    static TransportCounters register(MetricRegistry metrics) {
        return new TransportCounters(
                metrics.counter("peer.frames.in"),
                metrics.counter("peer.frames.out"),
                metrics.counter("peer.bytes.in"),
                metrics.counter("peer.bytes.out"),
                metrics.counter("peer.frames.bad"),
                metrics.counter("peer.queue.overflows"));
    }
}

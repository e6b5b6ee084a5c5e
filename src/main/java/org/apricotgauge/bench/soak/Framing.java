package org.apricotgauge.bench.soak;

/** How a target tells where the body of its answer ends. */
enum Framing {
    /** By a length in the head. */
    LENGTH,
    /** By the last chunk. */
    CHUNKED,
    /** By the end of its connection. */
    CLOSE
}

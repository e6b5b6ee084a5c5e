package org.apricotgauge.control;

/**
 * Drops frames on purpose, for tests and measurements of one-way partitions.
 *
 * <p>A frame that does not pass is discarded on arrival, as if it had been lost on the network.
 */
@FunctionalInterface
public interface FrameFilter {
    /** Drops nothing. */
    FrameFilter NONE = (from, to) -> true;

    /** Returns whether a frame passes from one VM to another. */
    boolean passes(String from, String to);
}

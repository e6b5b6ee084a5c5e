package org.apricotgauge.control;

/**
 * Loses frames on purpose, for tests and measurements of one-way partitions.
 *
 * <p>A frame that does not pass is swallowed on arrival, as if the path had eaten it.
 */
@FunctionalInterface
public interface FrameFilter {
    /** Loses nothing. */
    FrameFilter NONE = (from, to) -> true;

    /** Returns whether a frame passes from one VM to another. */
    boolean passes(String from, String to);
}

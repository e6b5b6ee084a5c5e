package org.apricotgauge.cli;

/**
 * What the exit code of every program of this project means.
 *
 * <pre>{@code
 * return report.isClean() ? ExitCode.OK : ExitCode.NEGATIVE;
 * }</pre>
 */
public enum ExitCode {
    /** The program did its work, and its verdict, if it gives one, is positive. */
    OK(0),
    /** The program did its work, and its verdict is negative or undecided. */
    NEGATIVE(1),
    /** The flags or environment variables are at fault; nothing was started. */
    USAGE(2),
    /** The settings are sound, but the program could not start, as when a port is in use. */
    START_FAILED(3),
    /** An invariant was found broken, and the program stopped rather than act on it. */
    INVARIANT_BROKEN(4);

    private final int mCode;

    ExitCode(int code) {
        mCode = code;
    }

    /** Returns the number that the operating system sees. */
    public int code() {
        return mCode;
    }
}

package org.apricotgauge.platform.kv;

/**
 * The id of one run of a target: the name that it registers under, and when the run was started.
 *
 * <pre>{@code
 * String id = TargetRun.idOf("i-7f3a", 1_790_000_000_000L);   // "i-7f3a_1790000000000"
 * String name = TargetRun.nameOf(id);                          // "i-7f3a"
 * }</pre>
 *
 * <p>A target may start again under the name that it had, and then knows nothing of before. With an
 * id for each run, all that is believed, measured or remembered by id starts anew with it: health,
 * service times, slots in use, ramp and addressed attempts.
 */
final class TargetRun {
    private static final char SEPARATOR = '_';
    private static final long UNTOLD = 0;

    private TargetRun() {}

    /**
     * Returns the id of a run.
     *
     * @param name what the target registers under
     * @param bornMillis start of the run in Unix milliseconds, or null if it is not told
     */
    static String idOf(String name, Long bornMillis) {
        return name + SEPARATOR + (bornMillis == null ? UNTOLD : bornMillis);
    }

    /** Returns the name that the run with this id is registered under. */
    static String nameOf(String id) {
        int at = id.lastIndexOf(SEPARATOR);
        return at < 0 ? id : id.substring(0, at);
    }
}

package org.apricotgauge.directory;

/**
 * A step in what a node believes of a target, as it is logged.
 *
 * @param name what the target is registered under
 * @param target id of its run
 * @param from what was believed before
 * @param to what is believed now
 * @param sequence how often the run had written by its last registration
 */
record TargetChange(String name, String target, Presence from, Presence to, long sequence) {

    /** What is believed of a target. */
    enum Presence {
        /** It was never heard of, or is gone. */
        ABSENT,
        /** It is registered, and takes work. */
        READY,
        /** It said that it leaves. */
        LEAVING,
        /** Its registration ended without a word; it may still come back. */
        ENDED
    }
}

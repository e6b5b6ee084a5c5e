package org.apricotgauge.decision.effect;

/**
 * Whether a change improved outcomes, and the counts that show it.
 *
 * @param verdict whether the change helped
 * @param before outcomes before the change, over all nodes that were compared
 * @param after outcomes after the change, over the same nodes
 * @param reason grounds of the verdict, in one line
 */
public record Effect(Verdict verdict, OutcomeShare before, OutcomeShare after, String reason) {

    /** Whether the change helped. */
    public enum Verdict {
        /** The bad share fell by more than chance explains. */
        HELPED,
        /** The bad share rose by more than chance explains. */
        HARMED,
        /** The difference may be chance, or there is too little data to decide. */
        UNDECIDED
    }
}

package org.apricotgauge.decision.effect;

/**
 * The answer to "did this change help?".
 *
 * @param verdict the answer
 * @param before outcomes over all nodes that were looked at, before
 * @param after the same, after
 * @param reason what the answer rests on, in one line
 */
public record Effect(Verdict verdict, OutcomeShare before, OutcomeShare after, String reason) {

    /** Whether the change helped. */
    public enum Verdict {
        /** The bad share fell by more than chance explains. */
        HELPED,
        /** The bad share rose by more than chance explains. */
        HARMED,
        /** The difference may be chance, or there is too little to tell. */
        UNDECIDED
    }
}

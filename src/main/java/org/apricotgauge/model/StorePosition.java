package org.apricotgauge.model;

/**
 * A position in the changes of the platform's store.
 *
 * <pre>{@code
 * StorePosition restored = new StorePosition(2, 29);
 * new StorePosition(1, 32).isBefore(restored);   // true: a restore begins a new era
 * }</pre>
 *
 * <p>Revisions order the changes of one era only: a store that is restored from an older copy goes
 * back and gives out revisions again. A position of unknown era is before any of a known one.
 *
 * @param era number of the era, increasing with each restore; {@link #UNKNOWN_ERA} if it was not
 *     told
 * @param revision revision of a change in that era; 0 for none
 */
public record StorePosition(long era, long revision) {
    /** The era of a position that a platform or node told without one. */
    public static final long UNKNOWN_ERA = 0;

    /** Nothing was read. */
    public static final StorePosition NONE = new StorePosition(UNKNOWN_ERA, 0);

    /** Validates the components. */
    public StorePosition {
        Checks.inRange("position.era", era, UNKNOWN_ERA, Long.MAX_VALUE);
        Checks.inRange("position.revision", revision, 0, Long.MAX_VALUE);
    }

    /** Returns whether the era was told. */
    public boolean hasEra() {
        return era != UNKNOWN_ERA;
    }

    /** Returns whether the revisions of both positions can be compared. */
    public boolean isSameEra(StorePosition other) {
        return era == other.era;
    }

    /** Returns whether the other position has changes beyond this one. */
    public boolean isBefore(StorePosition other) {
        return isSameEra(other) ? revision < other.revision : era < other.era;
    }

    /** Returns the position with this revision in another era. */
    public StorePosition inEra(long newEra) {
        return new StorePosition(newEra, revision);
    }

    /** Returns the position of another revision in this era. */
    public StorePosition at(long newRevision) {
        return new StorePosition(era, newRevision);
    }
}

package org.apricotgauge.model;

/**
 * How much of the site's published state a node knows, and how old that knowledge may be.
 *
 * <pre>{@code
 * SiteView view = new SiteView(new StorePosition(1, 27), 812);   // as of 812 ms ago
 * }</pre>
 *
 * @param position position of the newest change that is known
 * @param ageMillis time since the platform was last known to have nothing newer, in milliseconds
 */
public record SiteView(StorePosition position, long ageMillis) {
    /** Nothing is known, or the site does not publish positions. */
    public static final SiteView NONE = new SiteView(StorePosition.NONE, 0);

    /** Checks the parts. */
    public SiteView {
        Checks.notNull("view.position", position);
        Checks.inRange("view.ageMillis", ageMillis, 0, Long.MAX_VALUE);
    }
}

package org.apricotgauge.model;

/**
 * How much of the site's published state a node knows, and how old that knowledge may be.
 *
 * <pre>{@code
 * SiteView view = new SiteView(27, 812);   // all changes up to 27, as of 812 ms ago
 * }</pre>
 *
 * @param revision revision of the newest change that is known
 * @param ageMillis time since the platform was last known to have nothing newer, in milliseconds
 */
public record SiteView(long revision, long ageMillis) {
    /** Nothing is known, or the site does not publish revisions. */
    public static final SiteView NONE = new SiteView(0, 0);

    /** Checks the parts. */
    public SiteView {
        Checks.inRange("view.revision", revision, 0, Long.MAX_VALUE);
        Checks.inRange("view.ageMillis", ageMillis, 0, Long.MAX_VALUE);
    }
}

package org.apricotgauge.directory;

import org.apricotgauge.model.Checks;

/**
 * The times by which a platform lets targets leave, and what a node makes of them.
 *
 * <pre>{@code
 * PlatformTimes times = new PlatformTimes(2_000, 1_500);
 * long boundMillis = times.viewBoundMillis();   // 1_500
 * }</pre>
 *
 * @param servesOnMillis how long a target takes requests once the platform has its word that it
 *     leaves, or has ended its registration; in milliseconds
 * @param heartbeatMillis how often a target writes its registration, in milliseconds; three that
 *     are missing end it
 */
public record PlatformTimes(long servesOnMillis, long heartbeatMillis) {
    /**
     * Within this time of the platform's return, in milliseconds, a living target is registered
     * again; the platform says about 2 s, and a page of changes may wait for 0.2 s.
     */
    static final long REGISTRATION_RECOVERY_MILLIS = 2_200;

    /** Checks the parts. */
    public PlatformTimes {
        Checks.inRange("servesOnMillis", servesOnMillis, 1, Integer.MAX_VALUE);
        Checks.inRange("heartbeatMillis", heartbeatMillis, 1, Integer.MAX_VALUE);
    }

    /**
     * Returns how old a node's view of the site may become before it asks, in milliseconds.
     *
     * <p>A watch whose connection went silent, or whose answer was lost, looks like one that has
     * nothing to tell. Three quarters of the time that is there leave a quarter for the answer, a
     * late timer and the request's last hop.
     */
    public long maxViewAgeMillis() {
        return Math.max(1, servesOnMillis * 3 / 4);
    }

    /**
     * Returns up to which age a node's view needs no confirmation before it is told to another
     * node, in milliseconds. A younger one would cost a call for nearly every question; an older
     * one would leave the asker too little time before its own bound.
     */
    long maxFreshAgeMillis() {
        return Math.max(1, maxViewAgeMillis() * 3 / 8);
    }

    /** Returns the age at which a node asks the one that it reads from, in milliseconds. */
    long nodeQueryAgeMillis() {
        return Math.max(1, maxViewAgeMillis() / 2);
    }

    /**
     * Returns the age at which a node that reads from another asks the platform itself, in
     * milliseconds: the other and those above it had three eighths of the bound to answer.
     */
    long platformQueryAgeMillis() {
        return Math.max(1, maxViewAgeMillis() * 7 / 8);
    }

    /** Returns how long one node waits for another's view, and looks again, in milliseconds. */
    long nodeTimeoutMillis() {
        return Math.max(1, maxViewAgeMillis() / 8);
    }

    /**
     * Returns up to which age of its view a node sends work to targets, in milliseconds; the rest
     * of the time that targets serve on is left for the request's last hop.
     */
    long maxUsableAgeMillis() {
        return Math.max(1, servesOnMillis * 19 / 20);
    }

    /**
     * Returns how long the platform may take to confirm a view, in milliseconds; one that takes
     * longer counts as away, before the view is too old to act on.
     */
    long platformTimeoutMillis() {
        return Math.max(1, servesOnMillis * 3 / 20);
    }

    /** Returns how long an ended registration is kept at the most while the platform is there. */
    long maxRetentionMillis() {
        return servesOnMillis / 2;
    }

    /**
     * Returns how long after a moment at which a registration was still there its target may get
     * work, in milliseconds; a fifth of the time is left for a late timer and the last hop.
     */
    long workWindowMillis() {
        return servesOnMillis * 4 / 5;
    }

    /**
     * Returns the shortest absence of the platform in which a registration can run out, in
     * milliseconds: the target wrote at most one heartbeat before it, and two more had to fail.
     */
    long minExpiryOutageMillis() {
        return 2 * heartbeatMillis;
    }
}

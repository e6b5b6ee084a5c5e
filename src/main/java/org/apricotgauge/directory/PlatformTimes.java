package org.apricotgauge.directory;

import org.apricotgauge.model.Checks;

/**
 * The timing of target registrations at a platform, and the limits that a node derives from it.
 *
 * <pre>{@code
 * PlatformTimes times = new PlatformTimes(2_000, 1_500);
 * long maxViewAgeMillis = times.maxViewAgeMillis();   // 1_500
 * }</pre>
 *
 * @param servesOnMillis how long a target accepts requests after the platform has its leaving
 *     notice, or has ended its registration; in milliseconds
 * @param heartbeatMillis interval at which a target writes its registration, in milliseconds; three
 *     missing heartbeats end it
 */
public record PlatformTimes(long servesOnMillis, long heartbeatMillis) {
    /**
     * Time after an outage of the platform within which every live target is registered again, in
     * milliseconds: about 2 s as specified by the platform, plus 0.2 s for a delayed page of
     * changes.
     */
    static final long REGISTRATION_RECOVERY_MILLIS = 2_200;

    /** Validates the components. */
    public PlatformTimes {
        Checks.inRange("servesOnMillis", servesOnMillis, 1, Integer.MAX_VALUE);
        Checks.inRange("heartbeatMillis", heartbeatMillis, 1, Integer.MAX_VALUE);
    }

    /**
     * Returns how old a node's view of the site may become before the node queries a source, in
     * milliseconds.
     *
     * <p>A watch on a dead connection, or whose answer was lost, looks like one without changes.
     * Three quarters of the available time leave a quarter for the answer, a late timer and the
     * request's last hop.
     */
    public long maxViewAgeMillis() {
        return Math.max(1, servesOnMillis * 3 / 4);
    }

    /**
     * Returns up to which age a node's view needs no confirmation before it is sent to another
     * node, in milliseconds. A lower limit would cost a call for nearly every query; a higher one
     * would leave the requester too little time before its own limit.
     */
    long maxFreshAgeMillis() {
        return Math.max(1, maxViewAgeMillis() * 3 / 8);
    }

    /** Returns the view age at which a node queries the node that it reads from, in ms. */
    long nodeQueryAgeMillis() {
        return Math.max(1, maxViewAgeMillis() / 2);
    }

    /**
     * Returns the view age at which a node that reads from another queries the platform itself, in
     * milliseconds: the other and its ancestors had three eighths of the maximum age to answer.
     */
    long platformQueryAgeMillis() {
        return Math.max(1, maxViewAgeMillis() * 7 / 8);
    }

    /** Returns how long a node waits for another's view before it retries, in milliseconds. */
    long nodeTimeoutMillis() {
        return Math.max(1, maxViewAgeMillis() / 8);
    }

    /**
     * Returns up to which age of its view a node sends work to targets, in milliseconds; the rest
     * of the time for which leaving targets accept requests is left for the request's last hop.
     */
    long maxUsableAgeMillis() {
        return Math.max(1, servesOnMillis * 19 / 20);
    }

    /**
     * Returns how long the platform may take to confirm a view, in milliseconds; after that it
     * counts as unavailable, before the view becomes too stale to act on.
     */
    long platformTimeoutMillis() {
        return Math.max(1, servesOnMillis * 3 / 20);
    }

    /** Returns how long an ended registration is retained at most if there was no outage, in ms. */
    long maxRetentionMillis() {
        return servesOnMillis / 2;
    }

    /**
     * Returns how long a target may receive work after its registration was last known to exist, in
     * milliseconds; a fifth of the time is left for a late timer and the last hop.
     */
    long workWindowMillis() {
        return servesOnMillis * 4 / 5;
    }

    /**
     * Returns how long a target that has ended stays registered in a restored store at most, in
     * milliseconds: three missing heartbeats end its registration, at most one interval late.
     */
    long maxEndedRegistrationMillis() {
        return 4 * heartbeatMillis;
    }

    /**
     * Returns the shortest outage of the platform in which a registration can expire, in
     * milliseconds: the last heartbeat was written at most one interval before the outage, and two
     * more must fail.
     */
    long minExpiryOutageMillis() {
        return 2 * heartbeatMillis;
    }
}

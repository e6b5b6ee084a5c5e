package org.apricotgauge.config;

/**
 * Versions of the rules by which patches are judged.
 *
 * <p>A history names the version in force, and each patch the version it is judged by: the one in
 * force or the next, which it thereby puts in force. A release that does not know the next version
 * stops at that patch ({@link FoldResult.UnsupportedRules}) and keeps what it has, rather than
 * judge it otherwise than a newer release. Once published, the rules of a version never change.
 */
public final class Rules {
    /** The rules in force in an empty history. */
    public static final int FIRST = 1;

    /** From these rules on members have keys, rank and limit, and routes may be open to all. */
    public static final int ACCESS = 2;

    /** From these rules on the site may require API keys, whether or not some member has one. */
    public static final int KEYS_REQUIRED = 3;

    /** The newest rules that this release knows. */
    public static final int NEWEST = KEYS_REQUIRED;

    private Rules() {}
}

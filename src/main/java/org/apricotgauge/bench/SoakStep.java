package org.apricotgauge.bench;

/** What a soak run does to the fleet, one at a time. */
enum SoakStep {
    /** A target answers most of its work with errors. */
    TARGET_FAILS,
    /** A target becomes ten times slower. */
    TARGET_SLOWS,
    /** A target accepts work and never answers some of it. */
    TARGET_STALLS,
    /** A target breaks off some of its answers. */
    TARGET_TRUNCATES,
    /** A target sheds half of its work. */
    TARGET_SHEDS,
    /** All targets are well again. */
    TARGETS_RECOVER,
    /** A node is stopped as planned and started anew. */
    NODE_RESTARTS,
    /** A node ends at once, without a word, and is started anew. */
    NODE_DIES,
    /** The platform stops answering. */
    PLATFORM_DOWN,
    /** The platform shows an old state. */
    PLATFORM_STALE,
    /** The platform is well again. */
    PLATFORM_UP,
    /** A patch changes a setting. */
    PATCH
}

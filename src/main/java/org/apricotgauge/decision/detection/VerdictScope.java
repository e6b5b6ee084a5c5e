package org.apricotgauge.decision.detection;

/** For whom a verdict's evidence speaks. */
public enum VerdictScope {
    /** The target itself: every node that holds the evidence comes to the same view. */
    TARGET,
    /** The path from this node, which is this node's matter alone. */
    PATH
}

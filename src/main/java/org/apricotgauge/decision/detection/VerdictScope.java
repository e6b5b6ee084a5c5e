package org.apricotgauge.decision.detection;

/** What the evidence of a verdict concerns. */
public enum VerdictScope {
    /** The target itself: every node with this evidence comes to the same verdict. */
    TARGET,
    /** The path from this node to the target, which concerns this node alone. */
    PATH
}

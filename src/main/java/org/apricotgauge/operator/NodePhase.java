package org.apricotgauge.operator;

/** What a node does for callers now. */
public enum NodePhase {
    /** It has no configuration yet, and is not open to callers. */
    STARTING,
    /** It serves. */
    SERVING,
    /** It finishes what is in flight and takes nothing new. */
    STOPPING
}

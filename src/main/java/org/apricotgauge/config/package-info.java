/**
 * The numbered configuration: patches, the one deterministic fold over them, and snapshots.
 *
 * <p>The platform publishes an ordered list of patches; {@link
 * org.apricotgauge.config.ConfigHistory} folds it. Nodes and the review program use the same code.
 * Everything here but {@link org.apricotgauge.config.CurrentHistory} is an immutable value without
 * I/O, clocks or threads.
 */
package org.apricotgauge.config;

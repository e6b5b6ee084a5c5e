/**
 * Keeps members to their limits over all nodes together, with nothing shared but datagrams.
 *
 * <p>Each member has a home, the node that all nodes work out alike; it counts the member's tokens.
 * An entry asks the home for a token before it sends a request on. See docs/design/allotments.md.
 */
package org.apricotgauge.decision.ratelimit;

/**
 * Enforces the rate limits of members across all nodes, which exchange only datagrams.
 *
 * <p>Each member has an owner, which every node computes alike and which counts the member's
 * tokens. An entry requests a token from the owner before it forwards a request. See
 * docs/design/allotments.md.
 */
package org.apricotgauge.decision.ratelimit;

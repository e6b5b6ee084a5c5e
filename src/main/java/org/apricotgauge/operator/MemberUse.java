package org.apricotgauge.operator;

/**
 * What a member with a limit has asked of one node, as operators see it.
 *
 * @param member its id
 * @param requestsPerSecond its limit, over all nodes; 0 if it has none any more
 * @param burst requests that it may save up
 * @param granted requests that this node let run since it started
 * @param refused requests that this node refused for the limit
 * @param unknown requests that it refused since nobody who counts them answered
 * @param home node that counts them, where its datagrams go
 */
public record MemberUse(
        String member,
        double requestsPerSecond,
        double burst,
        long granted,
        long refused,
        long unknown,
        String home) {}

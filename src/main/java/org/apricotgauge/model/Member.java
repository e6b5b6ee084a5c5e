package org.apricotgauge.model;

/**
 * A customer (team or firm) whose traffic gets its fair share.
 *
 * @param id name of the member, as the request's member header gives it
 * @param weight share relative to other members; 1 is usual
 */
public record Member(String id, int weight) {
    /** Stands for the member of a request that names none. */
    public static final String ANONYMOUS_ID = "anonymous";

    /** The weight of a member that the configuration does not name. */
    public static final int DEFAULT_WEIGHT = 1;

    private static final int MAX_WEIGHT = 1_000;

    /** Checks the parts. */
    public Member {
        Checks.id("member.id", id);
        Checks.inRange("member.weight", weight, 1, MAX_WEIGHT);
    }
}

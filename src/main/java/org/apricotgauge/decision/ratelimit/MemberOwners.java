package org.apricotgauge.decision.ratelimit;

import com.dynatrace.hash4j.hashing.Hashing;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.apricotgauge.model.Address;
import org.apricotgauge.model.Checks;

/**
 * Assigns to each member the node that owns it and counts its tokens; every node computes the same
 * owners. Immutable.
 *
 * <pre>{@code
 * MemberOwners owners = MemberOwners.of(self, others);
 * Address owner = owners.owner("team-7");
 * }</pre>
 *
 * <p>Uses rendezvous hashing: adding or removing a node moves only the members that this node owns.
 */
public final class MemberOwners {
    private static final long MIX_1 = 0xbf58476d1ce4e5b9L;
    private static final long MIX_2 = 0x94d049bb133111ebL;

    private final Address mSelf;
    private final Address[] mNodes;
    private final long[] mHashes;

    private MemberOwners(Address self, Address[] nodes, long[] hashes) {
        mSelf = self;
        mNodes = nodes;
        mHashes = hashes;
    }

    /**
     * Returns the owners in a fleet.
     *
     * @param self address of this node, as other nodes use it
     * @param others addresses of all other nodes
     */
    public static MemberOwners of(Address self, List<Address> others) {
        Checks.notNull("self", self);
        Address[] nodes = new Address[others.size() + 1];
        long[] hashes = new long[nodes.length];
        for (int i = 0; i < nodes.length; i++) {
            nodes[i] = i == 0 ? self : others.get(i - 1);
            hashes[i] = hashOf(nodes[i].toString());
        }
        return new MemberOwners(self, nodes, hashes);
    }

    /** Returns the node that owns the member and counts its tokens. */
    public Address owner(String member) {
        return mNodes[nodeWithLowestScore(hashOf(member), -1)];
    }

    /** Returns the node that replaces an unresponsive owner; empty if there is no other node. */
    public Optional<Address> backupOwner(String member) {
        long hash = hashOf(member);
        int second = nodeWithLowestScore(hash, nodeWithLowestScore(hash, -1));
        return second < 0 ? Optional.empty() : Optional.of(mNodes[second]);
    }

    /** Returns whether this node owns the member. */
    public boolean isOwner(String member) {
        return owner(member).equals(mSelf);
    }

    /** Returns up to {@code count} other nodes; {@code number} determines which. */
    public List<Address> otherNodes(long number, int count) {
        int others = mNodes.length - 1;
        List<Address> selected = new ArrayList<>(count);
        for (int i = 0; i < Math.min(count, others); i++) {
            selected.add(mNodes[1 + (int) Math.floorMod(number + i, (long) others)]);
        }
        return selected;
    }

    /** Returns how many nodes precede this one in the member's order; 0 for its owner. */
    public int rank(String member) {
        long hash = hashOf(member);
        long ownScore = scoreOf(hash, 0);
        int rank = 0;
        for (int i = 1; i < mNodes.length; i++) {
            if (Long.compareUnsigned(scoreOf(hash, i), ownScore) < 0) {
                rank++;
            }
        }
        return rank;
    }

    private int nodeWithLowestScore(long memberHash, int except) {
        int lowest = -1;
        for (int i = 0; i < mNodes.length; i++) {
            if (i != except
                    && (lowest < 0
                            || Long.compareUnsigned(
                                            scoreOf(memberHash, i), scoreOf(memberHash, lowest))
                                    < 0)) {
                lowest = i;
            }
        }
        return lowest;
    }

    private long scoreOf(long memberHash, int node) {
        long mixed = (memberHash ^ mHashes[node]) * MIX_1;
        mixed = (mixed ^ (mixed >>> 29)) * MIX_2;
        return mixed ^ (mixed >>> 32);
    }

    private static long hashOf(String name) {
        return Hashing.komihash5_0().hashStream().putString(name).getAsLong();
    }
}

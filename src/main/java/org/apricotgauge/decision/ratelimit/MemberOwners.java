package org.apricotgauge.decision.ratelimit;

import com.dynatrace.hash4j.hashing.Hashing;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
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

    /** Nodes that may count a member's tokens: its owner, and those that replace it in turn. */
    static final int MAX_CANDIDATES = 4;

    private final Address mSelf;
    private final int mFirst;
    private final Address[] mNodes;
    private final long[] mHashes;

    private MemberOwners(Address self, boolean isListed, Address[] nodes, long[] hashes) {
        mSelf = self;
        mFirst = isListed || nodes.length == 1 ? 0 : 1;
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
        return of(self, others, true);
    }

    /**
     * Returns the owners in a fleet.
     *
     * @param self address of this node, as other nodes use it
     * @param others addresses of all other nodes
     * @param isListed whether the other nodes list this one; if not, they have other owners for the
     *     members that it would own
     */
    public static MemberOwners of(Address self, List<Address> others, boolean isListed) {
        Checks.notNull("self", self);
        Address[] nodes = new Address[others.size() + 1];
        long[] hashes = new long[nodes.length];
        for (int i = 0; i < nodes.length; i++) {
            nodes[i] = i == 0 ? self : others.get(i - 1);
            hashes[i] = hashOf(nodes[i].toString());
        }
        return new MemberOwners(self, isListed, nodes, hashes);
    }

    /** Returns the node that owns the member and counts its tokens. */
    public Address owner(String member) {
        return candidates(member, 1).get(0);
    }

    /**
     * Returns the nodes that may count the member's tokens: the owner, and those that replace it
     * while all before them are unresponsive.
     */
    public List<Address> candidates(String member) {
        return candidates(member, MAX_CANDIDATES);
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

    Address self() {
        return mSelf;
    }

    /** Returns the number of nodes, this one included. */
    int nodeCount() {
        return mNodes.length;
    }

    /** Returns how many nodes precede this one in the member's order; 0 for its owner. */
    public int rank(String member) {
        if (mFirst > 0) {
            return mNodes.length;
        }
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

    private List<Address> candidates(String member, int maxCount) {
        long memberHash = hashOf(member);
        int[] lowest = new int[Math.min(maxCount, mNodes.length - mFirst)];
        long[] scores = new long[lowest.length];
        int count = 0;
        for (int node = mFirst; node < mNodes.length; node++) {
            long score = scoreOf(memberHash, node);
            int position = count;
            while (position > 0 && Long.compareUnsigned(score, scores[position - 1]) < 0) {
                position--;
            }
            if (position == lowest.length) {
                continue;
            }
            count = Math.min(count + 1, lowest.length);
            System.arraycopy(lowest, position, lowest, position + 1, count - position - 1);
            System.arraycopy(scores, position, scores, position + 1, count - position - 1);
            lowest[position] = node;
            scores[position] = score;
        }
        return Arrays.stream(lowest).mapToObj(node -> mNodes[node]).toList();
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

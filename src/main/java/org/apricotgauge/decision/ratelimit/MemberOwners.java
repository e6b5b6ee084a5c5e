package org.apricotgauge.decision.ratelimit;

import com.dynatrace.hash4j.hashing.Hashing;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.apricotgauge.model.Address;
import org.apricotgauge.model.Checks;

/**
 * The nodes at which members' tokens are counted, worked out alike by every node; immutable.
 *
 * <pre>{@code
 * Homes homes = Homes.of(self, others);
 * Address home = homes.home("team-7");
 * }</pre>
 *
 * <p>Rendezvous hashing: a node that comes or goes moves the members that it is the home of, and no
 * others.
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
     * Returns the homes of a fleet.
     *
     * @param self the node's own address, as others know it
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

    /** Returns the node that counts the member's tokens. */
    public Address owner(String member) {
        return mNodes[lowestScore(hashOf(member), -1)];
    }

    /** Returns the node that stands in for the home; nothing if there is no other node. */
    public Optional<Address> backupOwner(String member) {
        long hash = hashOf(member);
        int second = lowestScore(hash, lowestScore(hash, -1));
        return second < 0 ? Optional.empty() : Optional.of(mNodes[second]);
    }

    /** Returns whether this node is the member's home. */
    public boolean isOwner(String member) {
        return owner(member).equals(mSelf);
    }

    /** Returns some other nodes, which depend on the number given; fewer if there are fewer. */
    public List<Address> otherNodes(long number, int count) {
        int others = mNodes.length - 1;
        List<Address> some = new ArrayList<>(count);
        for (int i = 0; i < Math.min(count, others); i++) {
            some.add(mNodes[1 + (int) Math.floorMod(number + i, (long) others)]);
        }
        return some;
    }

    /** Returns how many nodes stand before this one in the member's order; 0 for its home. */
    public int rank(String member) {
        long hash = hashOf(member);
        long own = scoreOf(hash, 0);
        int before = 0;
        for (int i = 1; i < mNodes.length; i++) {
            if (Long.compareUnsigned(scoreOf(hash, i), own) < 0) {
                before++;
            }
        }
        return before;
    }

    private int lowestScore(long memberHash, int except) {
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

package org.apricotgauge.decision.gossip;

import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Predicate;

/** The links of one node by number. */
final class LinkTable {
    private final Map<Long, Link> mLinks = new LinkedHashMap<>();
    private long mNextDialled = 1;

    long nextDialledId() {
        return mNextDialled++;
    }

    void add(Link link) {
        mLinks.put(link.mId, link);
    }

    Link get(long id) {
        return mLinks.get(id);
    }

    Link remove(long id) {
        return mLinks.remove(id);
    }

    /** Returns a copy, so that links may be closed while it is walked. */
    List<Link> all() {
        return List.copyOf(mLinks.values());
    }

    List<Link> established() {
        return where(Link::established);
    }

    List<Link> where(Predicate<Link> wanted) {
        Collection<Link> links = mLinks.values();
        return links.stream().filter(wanted).toList();
    }

    int count(Predicate<Link> wanted) {
        int count = 0;
        for (Link link : mLinks.values()) {
            if (wanted.test(link)) {
                count++;
            }
        }
        return count;
    }

    boolean linkedTo(String vm) {
        return count(link -> link.mRemote != null && link.mRemote.id().equals(vm)) > 0;
    }
}

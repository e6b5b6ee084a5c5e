package org.apricotgauge.decision.gossip;

import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Predicate;

/** The links of one node by ID. */
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

    /** Returns a copy, so that links may be closed during iteration. */
    List<Link> all() {
        return List.copyOf(mLinks.values());
    }

    List<Link> established() {
        return where(Link::established);
    }

    List<Link> where(Predicate<Link> filter) {
        Collection<Link> links = mLinks.values();
        return links.stream().filter(filter).toList();
    }

    int count(Predicate<Link> filter) {
        int count = 0;
        for (Link link : mLinks.values()) {
            if (filter.test(link)) {
                count++;
            }
        }
        return count;
    }

    boolean linkedTo(String vm) {
        return count(link -> link.mRemote != null && link.mRemote.id().equals(vm)) > 0;
    }
}

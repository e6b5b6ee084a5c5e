package org.apricotgauge.config;

import java.util.List;
import org.apricotgauge.model.Checks;
import org.apricotgauge.model.Member;
import org.apricotgauge.model.Route;
import org.apricotgauge.model.Service;
import org.apricotgauge.model.SiteSettings;
import org.apricotgauge.model.Target;

/**
 * One part of a snapshot, small enough for one value of the platform or one frame between nodes.
 *
 * <p>All nodes cut the same history into the same chunks, so that a newcomer may fetch them from
 * several.
 *
 * @param mark where the history stands
 * @param digest digest of the history
 * @param index place of this chunk, from 0
 * @param count how many chunks there are
 * @param services some of the services
 * @param targets some of the targets
 * @param routes some of the routes
 * @param members some of the members
 * @param site settings of the site, in the first chunk; null for the default ones
 */
public record SnapshotChunk(
        HistoryMark mark,
        Digest digest,
        int index,
        int count,
        List<Service> services,
        List<Target> targets,
        List<Route> routes,
        List<Member> members,
        SiteSettings site) {

    /** Checks the parts and copies the lists. */
    public SnapshotChunk {
        Checks.notNull("chunk.mark", mark);
        Checks.notNull("chunk.digest", digest);
        Checks.inRange("chunk.count", count, 1, Integer.MAX_VALUE);
        Checks.inRange("chunk.index", index, 0, count - 1L);
        services = List.copyOf(Checks.notNull("chunk.services", services));
        targets = List.copyOf(Checks.notNull("chunk.targets", targets));
        routes = List.copyOf(Checks.notNull("chunk.routes", routes));
        members = List.copyOf(Checks.notNull("chunk.members", members));
    }

    SnapshotChunk at(int newIndex, int newCount) {
        return new SnapshotChunk(
                mark, digest, newIndex, newCount, services, targets, routes, members, site);
    }
}

package org.apricotgauge.directory;

import java.util.List;
import org.apricotgauge.model.Checks;
import org.apricotgauge.model.Member;
import org.apricotgauge.model.Route;

/**
 * A complete published version of the configuration.
 *
 * @param version version number; increases, not always by one
 * @param baseVersion version that the operator's patch was based on
 * @param services names of the services
 * @param routes all routes
 * @param requiresKeys whether requests need an API key, even if no member has one
 * @param members all members
 * @param idleMillis idle timeout of callers' connections, in milliseconds
 */
public record PublishedConfiguration(
        long version,
        long baseVersion,
        List<String> services,
        List<Route> routes,
        boolean requiresKeys,
        List<Member> members,
        long idleMillis) {

    /** Validates the components and copies the lists. */
    public PublishedConfiguration {
        Checks.inRange("configuration.version", version, 1, Long.MAX_VALUE);
        Checks.inRange("configuration.baseVersion", baseVersion, 0, Long.MAX_VALUE);
        Checks.inRange("configuration.idleMillis", idleMillis, 1, Long.MAX_VALUE);
        services = List.copyOf(Checks.notNull("configuration.services", services));
        routes = List.copyOf(Checks.notNull("configuration.routes", routes));
        members = List.copyOf(Checks.notNull("configuration.members", members));
    }

    /** Creates a version without members, whose requests need no API keys. */
    public PublishedConfiguration(
            long version,
            long baseVersion,
            List<String> services,
            List<Route> routes,
            long idleMillis) {
        this(version, baseVersion, services, routes, false, List.of(), idleMillis);
    }
}

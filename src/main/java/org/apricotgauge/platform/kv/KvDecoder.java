package org.apricotgauge.platform.kv;

import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import org.apricotgauge.directory.PublishedConfiguration;
import org.apricotgauge.directory.PublishedItem;
import org.apricotgauge.directory.Registration;
import org.apricotgauge.directory.SiteChange;
import org.apricotgauge.directory.SiteDecoder;
import org.apricotgauge.model.Priority;
import org.apricotgauge.model.Repeatability;
import org.apricotgauge.model.Route;
import org.apricotgauge.model.ServiceShare;
import org.apricotgauge.model.Target;

/** Reads the store's items into the product's types; unknown fields are passed over. */
public final class KvDecoder implements SiteDecoder {
    private static final String CONFIG_KEY = "op/config";
    private static final String TARGET_PREFIX = "servers/";
    private static final String REPEATABLE = "idempotent";
    private static final String LEAVING = "draining";
    private static final char VERSION_LETTER = 'r';

    /** Ranks as the operator writes them; whatever is behind the last is patient. */
    private static final List<Priority> PRIORITIES =
            List.of(Priority.URGENT, Priority.URGENT, Priority.NORMAL);

    private static final ObjectMapper JSON =
            new ObjectMapper().disable(DeserializationFeature.FAIL_ON_UNKNOWN_PROPERTIES);

    @Override
    public SiteChange decode(PublishedItem item) {
        try {
            if (item.key().equals(CONFIG_KEY)) {
                return item.removed() ? new SiteChange.Ignored(item.key()) : configuration(item);
            }
            if (item.key().startsWith(TARGET_PREFIX)) {
                return target(item);
            }
            return new SiteChange.Ignored(item.key());
        } catch (IOException | RuntimeException e) {
            return new SiteChange.Unreadable(item.key(), e.toString());
        }
    }

    private static SiteChange configuration(PublishedItem item) throws IOException {
        ConfigDocument document = JSON.readValue(item.value(), ConfigDocument.class);
        List<Route> routes = new ArrayList<>();
        for (ConfigDocument.HostLine host : document.hosts()) {
            for (ConfigDocument.RouteLine line : host.paths()) {
                routes.add(route(host.host(), line));
            }
        }
        return new SiteChange.Configured(
                new PublishedConfiguration(
                        version(document.version()),
                        version(document.baseVersion()),
                        document.services().stream().map(ConfigDocument.ServiceLine::name).toList(),
                        routes,
                        document.limits().idleTimeoutMs()));
    }

    private static long version(String text) {
        if (text == null || text.isEmpty() || text.charAt(0) != VERSION_LETTER) {
            throw new IllegalArgumentException("version must be r and a number, was " + text);
        }
        return Long.parseLong(text, 1, text.length(), 10);
    }

    private static Route route(String host, ConfigDocument.RouteLine line) {
        List<ServiceShare> split =
                line.weightedServices() == null
                        ? null
                        : line.weightedServices().stream()
                                .map(part -> new ServiceShare(part.service(), part.weight()))
                                .toList();
        return new Route(
                line.name(),
                host.toLowerCase(Locale.ROOT),
                line.pathPrefix(),
                split == null ? line.service() : split.get(0).service(),
                PRIORITIES.size() > line.priority()
                        ? PRIORITIES.get(line.priority())
                        : Priority.PATIENT,
                REPEATABLE.equals(line.kind()) ? Repeatability.ALWAYS : Repeatability.NEVER,
                line.timeoutMs(),
                split,
                line.maxAttempts(),
                line.targetLatencyMs());
    }

    private static SiteChange target(PublishedItem item) throws IOException {
        String id = item.key().substring(TARGET_PREFIX.length());
        if (item.removed()) {
            return new SiteChange.Unregistered(id);
        }
        TargetDocument document = JSON.readValue(item.value(), TargetDocument.class);
        String address = document.address();
        int colon = address.lastIndexOf(':');
        String host = address.substring(0, colon);
        // A target's VM is known by its IP number alone, which its node has in its settings, too.
        Target target =
                new Target(
                        id,
                        document.info().service(),
                        host,
                        document.info().zone(),
                        host,
                        Integer.parseInt(address, colon + 1, address.length(), 10),
                        document.info().slots());
        TargetDocument.Status status = document.status();
        return new SiteChange.Registered(
                new Registration(target, LEAVING.equals(status.state()), status.coldRemainingMs()));
    }
}

package org.apricotgauge.platform.kv;

import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.MapperFeature;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.cfg.CoercionAction;
import com.fasterxml.jackson.databind.cfg.CoercionInputShape;
import com.fasterxml.jackson.databind.json.JsonMapper;
import com.fasterxml.jackson.databind.type.LogicalType;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import org.apricotgauge.directory.PublishedConfiguration;
import org.apricotgauge.directory.PublishedItem;
import org.apricotgauge.directory.Registration;
import org.apricotgauge.directory.SiteChange;
import org.apricotgauge.directory.SiteDecoder;
import org.apricotgauge.model.Checks;
import org.apricotgauge.model.KeyDigest;
import org.apricotgauge.model.Member;
import org.apricotgauge.model.Priority;
import org.apricotgauge.model.RateLimit;
import org.apricotgauge.model.Repeatability;
import org.apricotgauge.model.Route;
import org.apricotgauge.model.ServiceShare;
import org.apricotgauge.model.Target;

/** Reads the store's items into the product's types; unknown fields are passed over. */
public final class KvDecoder implements SiteDecoder {
    private static final String CONFIG_KEY = "op/config";
    private static final String TARGET_PREFIX = "servers/";
    private static final String REPEATABLE = "idempotent";
    private static final String READY = "ready";
    private static final String LEAVING = "draining";
    private static final char VERSION_LETTER = 'r';

    private static final ObjectMapper JSON =
            new ObjectMapper().disable(DeserializationFeature.FAIL_ON_UNKNOWN_PROPERTIES);

    /** Takes no text for a number, no fraction for a whole one, and nothing behind the document. */
    private static final ObjectMapper STRICT_JSON = strictJson();

    private static ObjectMapper strictJson() {
        ObjectMapper json =
                JsonMapper.builder()
                        .disable(DeserializationFeature.FAIL_ON_UNKNOWN_PROPERTIES)
                        .disable(DeserializationFeature.ACCEPT_FLOAT_AS_INT)
                        .disable(MapperFeature.ALLOW_COERCION_OF_SCALARS)
                        .enable(DeserializationFeature.FAIL_ON_TRAILING_TOKENS)
                        .build();
        json.coercionConfigFor(LogicalType.Textual)
                .setCoercion(CoercionInputShape.Integer, CoercionAction.Fail)
                .setCoercion(CoercionInputShape.Float, CoercionAction.Fail)
                .setCoercion(CoercionInputShape.Boolean, CoercionAction.Fail);
        return json;
    }

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
                        document.tenants() != null,
                        members(document.tenants()),
                        document.limits().idleTimeoutMs()));
    }

    private static List<Member> members(List<ConfigDocument.TenantLine> tenants) {
        return tenants == null ? List.of() : tenants.stream().map(KvDecoder::member).toList();
    }

    private static Member member(ConfigDocument.TenantLine line) {
        List<KeyDigest> keys =
                line.apiKeys() == null ? null : line.apiKeys().stream().map(KeyDigest::of).toList();
        boolean isBounded = line.requestsPerS() != null && line.requestsPerS() > 0;
        double burst = line.burst() == null ? 0 : line.burst();
        return new Member(
                line.name(),
                Member.DEFAULT_WEIGHT,
                keys,
                line.priority() == null ? null : priority(line.priority()),
                isBounded ? new RateLimit(line.requestsPerS(), burst) : null);
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
                priority(line.priority()),
                REPEATABLE.equals(line.kind()) ? Repeatability.ALWAYS : Repeatability.NEVER,
                line.timeoutMs(),
                split,
                line.maxAttempts(),
                line.targetLatencyMs(),
                line.publicAccess());
    }

    /**
     * Returns the class of a rank; 0 is the most urgent, and those behind the last class share it.
     */
    private static Priority priority(int rank) {
        Priority[] classes = Priority.values();
        return classes[Math.max(0, Math.min(rank, classes.length - 1))];
    }

    /** Reads a target's entry; one that does not say all that is needed names no target. */
    private static SiteChange target(PublishedItem item) {
        String name = item.key().substring(TARGET_PREFIX.length());
        if (item.removed()) {
            return new SiteChange.Unregistered(name);
        }
        try {
            TargetDocument document = STRICT_JSON.readValue(item.value(), TargetDocument.class);
            requireWhole(document);
            TargetDocument.Status status = document.status();
            return new SiteChange.Registered(
                    new Registration(
                            name,
                            target(name, document),
                            isLeaving(status.state()),
                            status.sequence(),
                            status.coldRemainingMs()));
        } catch (IOException | RuntimeException e) {
            return new SiteChange.InvalidRegistration(name, e.toString());
        }
    }

    // A field that is missing would pass for 0 slots or no leaving; the whole entry is in doubt.
    private static void requireWhole(TargetDocument document) {
        Checks.notNull("entry", document);
        Checks.notNull("address", document.address());
        Checks.notNull("info", document.info());
        Checks.notNull("info.service", document.info().service());
        Checks.notNull("info.zone", document.info().zone());
        Checks.notNull("info.version", document.info().version());
        Checks.notNull("info.slots", document.info().slots());
        Checks.notNull("status", document.status());
        Checks.notNull("status.state", document.status().state());
        Checks.notNull("status.sequence", document.status().sequence());
        Checks.notNull("status.coldRemainingMs", document.status().coldRemainingMs());
    }

    private static Target target(String name, TargetDocument document) {
        Checks.id("name", name);
        String address = document.address();
        int colon = address.lastIndexOf(':');
        // Nodes send to the targets' VMs, and look no names up.
        String host = Checks.ipNumber("address", address.substring(0, Math.max(0, colon)));
        // A target's VM is known by its IP number alone, which its node has in its settings, too.
        return new Target(
                TargetRun.idOf(name, document.born()),
                document.info().service(),
                host,
                document.info().zone(),
                host,
                Integer.parseInt(address, colon + 1, address.length(), 10),
                document.info().slots());
    }

    private static boolean isLeaving(String state) {
        return switch (state) {
            case READY -> false;
            case LEAVING -> true;
            default -> throw new IllegalArgumentException("state is not known: " + state);
        };
    }
}

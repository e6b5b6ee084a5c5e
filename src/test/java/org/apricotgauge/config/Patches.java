package org.apricotgauge.config;

import java.util.List;
import java.util.stream.Stream;
import org.apricotgauge.model.DetectionOdds;
import org.apricotgauge.model.KeyDigest;
import org.apricotgauge.model.Member;
import org.apricotgauge.model.Priority;
import org.apricotgauge.model.Repeatability;
import org.apricotgauge.model.Route;
import org.apricotgauge.model.Service;
import org.apricotgauge.model.Target;

/** Small patches and entities for tests. */
final class Patches {

    private Patches() {}

    static Service service(String id) {
        return new Service(id, 50, new DetectionOdds(100, 1), 10, 100, null);
    }

    static Target target(String id, String service) {
        return new Target(id, service, "vm-" + id, "domain-a", "10.0.0.1", 8080, 3);
    }

    static Route route(String id, String service) {
        return new Route(
                id, "*", "/" + id, service, Priority.NORMAL, Repeatability.BY_METHOD, 5_000);
    }

    static LogEntry entry(long position, long baseVersion, PatchOperation... operations) {
        Patch patch = new Patch(baseVersion, "almaz", "test", Rules.FIRST, List.of(operations));
        return new LogEntry(position, PatchCodec.encode(patch));
    }

    static LogEntry accessEntry(long position, long baseVersion, PatchOperation... operations) {
        Patch patch = new Patch(baseVersion, "almaz", "test", Rules.ACCESS, List.of(operations));
        return new LogEntry(position, PatchCodec.encode(patch));
    }

    static PatchOperation putMember(String id, String... keys) {
        List<KeyDigest> digests = Stream.of(keys).map(KeyDigest::of).toList();
        return new PatchOperation.PutMember(new Member(id, 1, digests, null, null));
    }

    static PatchOperation putService(String id) {
        return new PatchOperation.PutService(service(id));
    }

    /** Folds entries that are all accepted. */
    static ConfigHistory accepted(PatchOperation... operations) {
        return ConfigHistory.EMPTY.apply(entry(1, 0, operations)).history();
    }
}

package org.apricotgauge.config;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.Combinators;
import net.jqwik.api.EdgeCasesMode;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;
import net.jqwik.api.Tuple;
import net.jqwik.api.constraints.IntRange;
import org.apricotgauge.model.DetectionOdds;
import org.apricotgauge.model.Priority;
import org.apricotgauge.model.Repeatability;
import org.apricotgauge.model.Route;
import org.apricotgauge.model.Service;
import org.apricotgauge.model.Target;

/** Random lists, delivered in any order and through snapshots, against a list and a maximum. */
class ConfigHistoryProperties {

    /** One entry to publish; the base version is off the current one by {@code offset}. */
    record Draft(long offset, boolean malformed, List<PatchOperation> operations) {}

    /** One entry handed to the node, and whether the node is then replaced from a snapshot. */
    record Delivery(int ahead, boolean restart) {}

    @Property(seed = "20261202", tries = 300, edgeCases = EdgeCasesMode.NONE)
    void replayAgreesWithTheOracle(@ForAll("drafts") List<Draft> drafts) {
        FoldOracle oracle = new FoldOracle();
        ConfigHistory history = ConfigHistory.EMPTY;
        for (Draft draft : drafts) {
            Patch patch = patch(draft, oracle.version());
            LogEntry entry = entry(draft, patch, history.position() + 1);
            boolean taken = !draft.malformed() && oracle.take(patch);

            FoldResult result = history.apply(entry);

            assertThat(result instanceof FoldResult.Accepted).isEqualTo(taken);
            assertThat(result.history().version()).isEqualTo(oracle.version());
            assertThat(result.history().position()).isEqualTo(history.position() + 1);
            assertThat(oracle.agreesWith(result.history().configuration())).isTrue();
            history = result.history();
        }
    }

    @Property(seed = "20261203", tries = 200, edgeCases = EdgeCasesMode.NONE)
    void anyDeliveryThroughAnySnapshotsGivesThePrefixOfTheReplay(
            @ForAll("drafts") List<Draft> drafts, @ForAll("deliveries") List<Delivery> deliveries) {
        List<ConfigHistory> replay = new ArrayList<>(List.of(ConfigHistory.EMPTY));
        List<LogEntry> list = new ArrayList<>();
        for (Draft draft : drafts) {
            ConfigHistory last = replay.get(replay.size() - 1);
            list.add(entry(draft, patch(draft, last.version()), last.position() + 1));
            replay.add(last.apply(list.get(list.size() - 1)).history());
        }
        CurrentHistory node = new CurrentHistory(ConfigHistory.EMPTY);
        int maximum = 0;
        for (Delivery delivery : deliveries) {
            int index = Math.min(Math.max(maximum + delivery.ahead(), 0), list.size() - 1);
            node.advance(node.get().apply(list.get(index)).history());
            maximum = index == maximum ? maximum + 1 : maximum;
            if (delivery.restart()) {
                node = new CurrentHistory(throughSnapshot(node.get()));
            }

            assertThat(node.get().position()).isEqualTo(maximum);
            assertThat(node.get().digest()).isEqualTo(replay.get(maximum).digest());
            assertThat(node.get().version()).isEqualTo(replay.get(maximum).version());
        }
    }

    // Anybody who may publish can publish any text, and every node folds it at the same moment. An
    // exception for one of them would stop the whole fleet, and each restart would meet it again.
    @Property(seed = "20261204", tries = 2000, edgeCases = EdgeCasesMode.NONE)
    void anyTextIsAcceptedOrRefused(
            @ForAll("drafts") List<Draft> drafts,
            @ForAll @IntRange(max = 5_000) int at,
            @ForAll @IntRange(max = 20) int length,
            @ForAll("scraps") String scrap) {
        Draft draft = drafts.get(drafts.size() - 1);
        String body = PatchCodec.encode(patch(draft, 0));
        int from = at % body.length();
        int to = Math.min(from + length, body.length());
        String spoilt = body.substring(0, from) + scrap + body.substring(to);

        FoldResult result = ConfigHistory.EMPTY.apply(new LogEntry(1, spoilt));

        assertThat(result)
                .isInstanceOfAny(
                        FoldResult.Accepted.class,
                        FoldResult.Refused.class,
                        FoldResult.UnsupportedRules.class);
        assertThat(result.history().version())
                .isEqualTo(result instanceof FoldResult.Accepted ? 1 : 0);
    }

    @Provide
    Arbitrary<String> scraps() {
        return Arbitraries.oneOf(
                Arbitraries.strings().ofMaxLength(4),
                Arbitraries.of(
                        "null",
                        "{",
                        "]",
                        "\"",
                        "1e999999999",
                        "-0",
                        "99999999999999999999",
                        "\\ud800",
                        "\ud800",
                        ",\"op\":\"removeRoute\"",
                        "[".repeat(500)));
    }

    @Provide
    Arbitrary<List<Draft>> drafts() {
        Arbitrary<Long> offsets =
                Arbitraries.frequency(
                        Tuple.of(12, 0L), Tuple.of(1, -1L), Tuple.of(1, 1L), Tuple.of(1, -3L));
        Arbitrary<Boolean> malformed = Arbitraries.frequency(Tuple.of(9, false), Tuple.of(1, true));
        return Combinators.combine(offsets, malformed, operations().list().ofMaxSize(4))
                .as(Draft::new)
                .list()
                .ofMaxSize(60)
                .map(ConfigHistoryProperties::afterFirstDraft);
    }

    @Provide
    Arbitrary<List<Delivery>> deliveries() {
        Arbitrary<Integer> ahead =
                Arbitraries.frequency(
                        Tuple.of(6, 0), Tuple.of(1, -1), Tuple.of(1, 1), Tuple.of(1, -4));
        Arbitrary<Boolean> restart = Arbitraries.frequency(Tuple.of(5, false), Tuple.of(1, true));
        return Combinators.combine(ahead, restart).as(Delivery::new).list().ofMaxSize(60);
    }

    private static Arbitrary<PatchOperation> operations() {
        Arbitrary<String> services = Arbitraries.of("s1", "s2", "s3");
        Arbitrary<String> targets = Arbitraries.of("t1", "t2", "t3", "t4");
        Arbitrary<String> routes = Arbitraries.of("r1", "r2", "r3");
        Arbitrary<String> domains =
                Arbitraries.frequency(Tuple.of(9, "domain-a"), Tuple.of(1, "domain-b"));
        Arbitrary<PatchOperation> putTarget =
                Combinators.combine(targets, services, Arbitraries.of("vm1", "vm2"), domains)
                        .as((id, s, vm, d) -> new Target(id, s, vm, d, "10.0.0.1", 8080, 3))
                        .map(PatchOperation.PutTarget::new);
        Arbitrary<PatchOperation> putRoute =
                Combinators.combine(routes, services, Arbitraries.of("/a", "/b", "/c"))
                        .as(ConfigHistoryProperties::route)
                        .map(PatchOperation.PutRoute::new);
        Arbitrary<PatchOperation> setFloor =
                Combinators.combine(services, Arbitraries.of(10, 20, 101))
                        .as(PatchOperation.SetFloorPercent::new);
        return Arbitraries.frequencyOf(
                Tuple.of(4, services.map(id -> new PatchOperation.PutService(service(id)))),
                Tuple.of(1, services.map(PatchOperation.RemoveService::new)),
                Tuple.of(4, putTarget),
                Tuple.of(1, targets.map(PatchOperation.RemoveTarget::new)),
                Tuple.of(3, putRoute),
                Tuple.of(1, routes.map(PatchOperation.RemoveRoute::new)),
                Tuple.of(1, setFloor));
    }

    /** Starts with a draft that fills the configuration, so that later ones have what to change. */
    private static List<Draft> afterFirstDraft(List<Draft> drafts) {
        List<PatchOperation> operations = new ArrayList<>();
        for (String id : List.of("s1", "s2", "s3")) {
            operations.add(new PatchOperation.PutService(service(id)));
        }
        for (String id : List.of("t1", "t2", "t3", "t4")) {
            operations.add(new PatchOperation.PutTarget(Patches.target(id, "s1")));
        }
        operations.add(new PatchOperation.PutRoute(route("r1", "s2", "/a")));
        List<Draft> all = new ArrayList<>(List.of(new Draft(0, false, operations)));
        all.addAll(drafts);
        return all;
    }

    private static Service service(String id) {
        return new Service(id, 50, new DetectionOdds(100, 1), 10, 100, null);
    }

    private static Route route(String id, String service, String path) {
        return new Route(id, "*", path, service, Priority.NORMAL, Repeatability.BY_METHOD, 5_000);
    }

    private static Patch patch(Draft draft, long version) {
        long base = Math.max(0, version + draft.offset());
        return new Patch(base, "almaz", "", Rules.FIRST, draft.operations());
    }

    private static LogEntry entry(Draft draft, Patch patch, long position) {
        String body = PatchCodec.encode(patch);
        return new LogEntry(
                position, draft.malformed() ? body.substring(0, body.length() - 1) : body);
    }

    private static ConfigHistory throughSnapshot(ConfigHistory history) {
        List<SnapshotChunk> chunks =
                SnapshotCodec.encode(history).stream()
                        .map(SnapshotCodec::toJson)
                        .map(SnapshotCodec::fromJson)
                        .toList();
        return ((SnapshotAssembler.Restored) SnapshotCodec.decode(chunks)).history();
    }
}

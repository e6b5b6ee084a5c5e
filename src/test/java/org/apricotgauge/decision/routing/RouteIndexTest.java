package org.apricotgauge.decision.routing;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.Combinators;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;
import org.apricotgauge.model.Priority;
import org.apricotgauge.model.Repeatability;
import org.apricotgauge.model.Route;
import org.junit.jupiter.api.Test;

class RouteIndexTest {

    private static Route route(String id, String host, String prefix) {
        return new Route(id, host, prefix, "s", Priority.NORMAL, Repeatability.BY_METHOD, 1_000);
    }

    @Test
    void exactHostWinsOverAnyHost() {
        RouteIndex index = RouteIndex.of(List.of(route("a", "*", "/x/y"), route("b", "h", "/")));
        assertThat(index.find("H", "/x/y").orElseThrow().id()).isEqualTo("b");
        assertThat(index.find("other", "/x/y/z").orElseThrow().id()).isEqualTo("a");
        assertThat(index.find(null, "/w")).isEmpty();
    }

    @Test
    void prefixEndsAtSlash() {
        RouteIndex index = RouteIndex.of(List.of(route("a", "*", "/book")));
        assertThat(index.find("h", "/book")).isPresent();
        assertThat(index.find("h", "/book/1")).isPresent();
        assertThat(index.find("h", "/booking")).isEmpty();
    }

    // Guards against a request that runs at the service of a longer prefix than begins its path.
    @Test
    void prefixWithLastSlashDoesNotCoverPathWithoutIt() {
        RouteIndex index =
                RouteIndex.of(List.of(route("shop", "*", "/shop/"), route("o", "*", "/shop/o/")));
        assertThat(index.find("h", "/shop/o").orElseThrow().id()).isEqualTo("shop");
        assertThat(index.find("h", "/shop/o/").orElseThrow().id()).isEqualTo("o");
        assertThat(index.find("h", "/shop/o/1").orElseThrow().id()).isEqualTo("o");
        assertThat(index.find("h", "/shop")).isEmpty();
    }

    // Guards against a route that is accepted, but hidden by one that differs by the last slash.
    @Test
    void prefixesThatDifferByTheLastSlashAreTwo() {
        RouteIndex index = RouteIndex.of(List.of(route("a", "*", "/x/"), route("b", "*", "/x")));
        assertThat(index.find("h", "/x").orElseThrow().id()).isEqualTo("b");
        assertThat(index.find("h", "/x/1").orElseThrow().id()).isEqualTo("a");
    }

    @Test
    void equalRoutesResolveToFirstById() {
        List<Route> routes = List.of(route("b", "*", "/x"), route("a", "*", "/x"));
        assertThat(RouteIndex.of(routes).find("h", "/x").orElseThrow().id()).isEqualTo("a");
    }

    @Property(seed = "11", tries = 500)
    void agreesWithLinearSearch(
            @ForAll("paths") List<String> prefixes, @ForAll("path") String path) {
        List<Route> routes = new ArrayList<>();
        for (int i = 0; i < prefixes.size(); i++) {
            routes.add(route("r" + i, "*", prefixes.get(i)));
        }
        Optional<String> expected =
                prefixes.stream()
                        .filter(prefix -> covers(prefix, path))
                        .max(Comparator.comparingInt(String::length));
        Optional<String> found = RouteIndex.of(routes).find("h", path).map(Route::pathPrefix);
        assertThat(found).isEqualTo(expected);
    }

    private static boolean covers(String prefix, String path) {
        return path.equals(prefix) || path.startsWith(prefix.endsWith("/") ? prefix : prefix + '/');
    }

    @Provide
    Arbitrary<String> path() {
        Arbitrary<String> lastSlash = Arbitraries.of("", "/");
        return Combinators.combine(segments(), lastSlash)
                .as((path, end) -> path.equals("/") ? path : path + end);
    }

    private static Arbitrary<String> segments() {
        return Arbitraries.of("a", "b", "ab")
                .list()
                .ofMinSize(0)
                .ofMaxSize(4)
                .map(parts -> "/" + String.join("/", parts));
    }

    @Provide
    Arbitrary<List<String>> paths() {
        return path().list().ofMaxSize(8);
    }
}

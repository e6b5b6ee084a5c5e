package org.apricotgauge.platform.kv;

import static org.assertj.core.api.Assertions.assertThat;

import java.nio.charset.StandardCharsets;
import java.util.List;
import org.apricotgauge.directory.PublishedItem;
import org.apricotgauge.directory.SiteChange;
import org.apricotgauge.model.KeyDigest;
import org.apricotgauge.model.Member;
import org.apricotgauge.model.Priority;
import org.apricotgauge.model.RateLimit;
import org.apricotgauge.model.Repeatability;
import org.apricotgauge.model.Route;
import org.apricotgauge.model.ServiceShare;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/** What the store holds, as the product's types. */
class KvDecoderTest {
    private static final String CONFIG =
            """
            {"version":"r7","services":[{"name":"a","healthPath":"/health"},{"name":"b"}],
             "limits":{"headerBytes":16384,"idleTimeoutMs":15000},"baseVersion":"r5",
             "hosts":[{"host":"One.example","paths":[
              {"name":"r-1","pathPrefix":"/x/","kind":"idempotent","timeoutMs":1200,
               "targetLatencyMs":800,"priority":2,"maxAttempts":2,
               "weightedServices":[{"service":"a","weight":90},{"service":"b","weight":10}]},
              {"name":"r-2","pathPrefix":"/y/","kind":"non_idempotent","timeoutMs":1500,
               "priority":1,"service":"b","maxAttempts":2,"new":"field"}]}]}
            """;

    @Test
    void readsAConfiguration() {
        SiteChange change = decode("op/config", CONFIG);

        assertThat(change).isInstanceOf(SiteChange.Configured.class);
        var configuration = ((SiteChange.Configured) change).configuration();
        assertThat(configuration.version()).isEqualTo(7);
        assertThat(configuration.baseVersion()).isEqualTo(5);
        assertThat(configuration.services()).containsExactly("a", "b");
        Route split = configuration.routes().get(0);
        assertThat(split.host()).isEqualTo("one.example");
        assertThat(split.shares())
                .containsExactly(new ServiceShare("a", 90), new ServiceShare("b", 10));
        assertThat(split.repeatability()).isEqualTo(Repeatability.ALWAYS);
        assertThat(split.priority()).isEqualTo(Priority.NORMAL);
        Route single = configuration.routes().get(1);
        assertThat(single.repeatability()).isEqualTo(Repeatability.NEVER);
        assertThat(single.priority()).isEqualTo(Priority.URGENT);
        assertThat(single.maxRunsOr(9)).isEqualTo(2);
    }

    // Guards against an empty list of members that is read as a site without API keys.
    @ParameterizedTest
    @CsvSource(
            delimiter = '|',
            value = {
                "'' | false",
                "'\"tenants\":null,' | false",
                "'\"tenants\":[],' | true",
                "'\"tenants\":[{\"name\":\"stable\"}],' | true",
                "'\"tenants\":[{\"name\":\"stable\",\"apiKeys\":[]}],' | true",
            })
    void requiresKeysIfMembersAreListed(String tenants, boolean requiresKeys) {
        SiteChange change = decode("op/config", CONFIG.replace("\"hosts\"", tenants + "\"hosts\""));

        assertThat(((SiteChange.Configured) change).configuration().requiresKeys())
                .isEqualTo(requiresKeys);
    }

    @Test
    void readsMembersAndKeepsNoKey() {
        String tenants =
                """
                "tenants":[{"name":"stable","apiKeys":["k1","k2"],"priority":1,
                 "requestsPerS":44,"burst":40},{"name":"yard","apiKeys":["k3"],"requestsPerS":0}],
                "hosts":[{"host":"one.example","paths":[{"name":"r-1","pathPrefix":"/x/",
                 "kind":"idempotent","timeoutMs":1200,"priority":2,"service":"a",
                 "publicAccess":true}]}]}
                """;
        SiteChange change =
                decode("op/config", CONFIG.substring(0, CONFIG.indexOf("\"hosts\"")) + tenants);

        var configuration = ((SiteChange.Configured) change).configuration();
        assertThat(configuration.members())
                .containsExactly(
                        new Member(
                                "stable",
                                1,
                                List.of(KeyDigest.of("k1"), KeyDigest.of("k2")),
                                Priority.URGENT,
                                new RateLimit(44, 40)),
                        new Member("yard", 1, List.of(KeyDigest.of("k3")), null, null));
        assertThat(configuration.routes().get(0).opensToAll()).isTrue();
        assertThat(configuration.toString()).doesNotContain("k1").doesNotContain("k3");
    }

    @Test
    void withoutTenantsThereAreNoMembers() {
        var configuration = ((SiteChange.Configured) decode("op/config", CONFIG)).configuration();

        assertThat(configuration.members()).isEmpty();
        assertThat(configuration.routes().get(0).opensToAll()).isFalse();
    }

    @Test
    void readsATarget() {
        SiteChange change =
                decode(
                        "servers/i-1",
                        """
                        {"address":"10.1.0.9:8080","info":{"service":"a","version":"v1",
                         "zone":"hall","slots":3},
                         "status":{"state":"draining","sequence":4,"coldRemainingMs":200}}
                        """);

        var registration = ((SiteChange.Registered) change).registration();
        assertThat(registration.leaving()).isTrue();
        assertThat(registration.coldRemainingMillis()).isEqualTo(200);
        assertThat(registration.name()).isEqualTo("i-1");
        assertThat(TargetRun.nameOf(registration.target().id())).isEqualTo("i-1");
        assertThat(registration.target().vm()).isEqualTo("10.1.0.9");
        assertThat(registration.target().port()).isEqualTo(8_080);
        assertThat(registration.target().slots()).isEqualTo(3);
    }

    @Test
    void eachRunOfATargetHasAnIdOfItsOwn() {
        // A target may start again under its old name; the time of its start tells the runs apart.
        String first =
                ((SiteChange.Registered) decode("servers/i-1", born("17")))
                        .registration()
                        .target()
                        .id();
        String second =
                ((SiteChange.Registered) decode("servers/i-1", born("18")))
                        .registration()
                        .target()
                        .id();

        assertThat(first).isNotEqualTo(second);
        assertThat(TargetRun.nameOf(first)).isEqualTo(TargetRun.nameOf(second)).isEqualTo("i-1");
    }

    @ParameterizedTest
    @ValueSource(
            strings = {
                "",
                "null",
                "[]",
                "not json",
                "{}",
                "{\"address\":7,\"info\":{},\"status\":{}}",
            })
    void anEntryOfAnotherWriterNamesNoTarget(String value) {
        assertThat(decode("servers/i-1", value)).isInstanceOf(SiteChange.InvalidRegistration.class);
    }

    @ParameterizedTest
    @CsvSource(
            quoteCharacter = '~',
            value = {
                "~\"ready\"~, ~\"paused\"~",
                "~\"ready\"~, ~true~",
                "~\"state\":\"ready\",~, ~~",
                "~\"sequence\":4,~, ~~",
                "~,\"coldRemainingMs\":0~, ~~",
                "~:3}~, ~:\"3\"}~",
                "~:3}~, ~:3.5}~",
                "~:3}~, ~:0}~",
                "~\"slots\":3~, ~\"room\":3~",
                "~\"a\"~, ~5~",
                "~10.1.0.9:8080~, ~10.1.0.9~",
                "~10.1.0.9:8080~, ~10.1.0.9:x~",
                "~\"born\":17~, ~\"born\":17.5~",
                "~\"born\":17~, ~\"born\":\"17\"~",
                "~}}~, ~}} {}~",
            })
    void anEntryThatIsPartlyWrongNamesNoTarget(String whole, String wrong) {
        String entry = born("17");
        assertThat(entry).contains(whole);

        SiteChange change = decode("servers/i-1", entry.replace(whole, wrong == null ? "" : wrong));

        assertThat(change).isInstanceOf(SiteChange.InvalidRegistration.class);
    }

    @Test
    void aRemovedTargetIsUnregistered() {
        assertThat(new KvDecoder().decode(PublishedItem.removed("servers/i-1", 3)))
                .isEqualTo(new SiteChange.Unregistered("i-1"));
    }

    @Test
    void whatCannotBeReadIsSaidAndChangesNothing() {
        assertThat(decode("op/config", "{\"version\":7")).isInstanceOf(SiteChange.Unreadable.class);
        assertThat(decode("op/config", CONFIG.replace("r7", "7")))
                .isInstanceOf(SiteChange.Unreadable.class);
        assertThat(decode("other/key", "")).isInstanceOf(SiteChange.Ignored.class);
    }

    private static String born(String millis) {
        return "{\"address\":\"10.1.0.9:8080\",\"born\":"
                + millis
                + ",\"info\":{\"service\":\"a\",\"version\":\"v1\",\"zone\":\"hall\","
                + "\"slots\":3},"
                + "\"status\":{\"state\":\"ready\",\"sequence\":4,\"coldRemainingMs\":0}}";
    }

    private static SiteChange decode(String key, String value) {
        byte[] bytes = value.getBytes(StandardCharsets.UTF_8);
        return new KvDecoder().decode(new PublishedItem(key, bytes, 1, false));
    }
}

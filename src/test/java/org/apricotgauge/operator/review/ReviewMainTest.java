package org.apricotgauge.operator.review;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.apricotgauge.cli.CommandOutcome;
import org.apricotgauge.cli.ExitCode;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

class ReviewMainTest {
    @TempDir private Path mDirectory;

    private final ByteArrayOutputStream mOut = new ByteArrayOutputStream();

    @ParameterizedTest
    @ValueSource(strings = {"entoto", "kampsi"})
    void acceptedPatchIsShownWithItsEffects(String site) throws IOException {
        ExitCode code = run(site, "next-more-capacity.json");

        assertThat(code).isEqualTo(ExitCode.OK);
        assertThat(text())
                .startsWith("accepted: version 3 becomes 4\n")
                .contains("      targets: 6 -> 7\n")
                .contains("  members touched: 1 (")
                .contains("  routes that lose all targets: none\n")
                .contains("  shares moved: 1 (");
    }

    @Test
    void effectsAreExact() throws IOException {
        run("kampsi", "next-more-capacity.json", "--json");

        JsonNode effects = new ObjectMapper().readTree(text()).path("effects");
        JsonNode service = effects.path("services").path(1);
        assertThat(service.path("service").asText()).isEqualTo("profile-catalogue");
        assertThat(service.path("before").path("slots").asInt()).isEqualTo(42);
        assertThat(service.path("before").path("floorSlots").asInt()).isEqualTo(21);
        assertThat(service.path("after").path("slots").asInt()).isEqualTo(49);
        assertThat(service.path("after").path("floorSlots").asInt()).isEqualTo(27);
        assertThat(service.path("after").path("slotsWithoutLargestDomain").asInt()).isEqualTo(28);
        assertThat(effects.path("targets").path(0).asText()).isEqualTo("profile-catalogue-7");
    }

    // An operator removes the old hosts of a pool and forgets to add the new ones. The fold takes
    // the
    // patch, since no rule of the configuration is broken; callers of the route get no answer any
    // more. The review is the last place to see it.
    @ParameterizedTest
    @ValueSource(strings = {"entoto", "kampsi"})
    void lostPoolIsWarnedOf(String site) throws IOException {
        ExitCode code = run(site, "next-lost-pool.json");

        assertThat(code).isEqualTo(ExitCode.OK);
        assertThat(text())
                .contains("  routes that lose all targets: 1 (")
                .contains("loses all its targets\n");
    }

    @ParameterizedTest
    @ValueSource(strings = {"entoto", "kampsi"})
    void latePatchIsRefused(String site) throws IOException {
        ExitCode code = run(site, "next-late.json");

        assertThat(code).isEqualTo(ExitCode.NEGATIVE);
        assertThat(text())
                .startsWith("refused: version 3 stays in force\n")
                .contains("reason: patch is on version 2 but the current version is 3");
    }

    @Test
    void refusalInJsonNamesTheReason() throws IOException {
        run("entoto", "next-late.json", "--json");

        JsonNode reason = new ObjectMapper().readTree(text()).path("reasons").path(0);
        assertThat(reason.path("reason").asText()).isEqualTo("NotOnCurrentVersion");
        assertThat(reason.path("message").asText()).contains("make it anew");
    }

    @Test
    void patchOfANewerReleaseIsUndecided() throws IOException {
        Path patch = mDirectory.resolve("patch.json");
        Files.writeString(patch, "{\"baseVersion\":2,\"rulesVersion\":4,\"new\":true}");
        Path config = mDirectory.resolve("config.json");
        Files.writeString(
                config,
                "[{\"baseVersion\":0,\"author\":\"a\",\"note\":\"\",\"rulesVersion\":2,"
                        + "\"operations\":[{\"op\":\"putMember\","
                        + "\"member\":{\"id\":\"stable\",\"weight\":1}}]},"
                        + "{\"baseVersion\":1,\"author\":\"a\",\"note\":\"\",\"rulesVersion\":3,"
                        + "\"operations\":[]}]");

        ExitCode code = run(List.of("--patch", patch.toString(), "--config", config.toString()));

        assertThat(code).isEqualTo(ExitCode.NEGATIVE);
        assertThat(text()).startsWith("undecided: the patch needs rules version 4");
    }

    // Guards against a patch that takes the last key away and opens the site without a word.
    @Test
    void lastKeyThatIsRemovedIsWarnedOf() throws IOException {
        Path patch = mDirectory.resolve("patch.json");
        Files.writeString(
                patch,
                "{\"baseVersion\":1,\"author\":\"a\",\"note\":\"\",\"rulesVersion\":2,"
                        + "\"operations\":[{\"op\":\"removeMember\",\"id\":\"stable\"}]}");
        Path config = mDirectory.resolve("config.json");
        Files.writeString(
                config,
                "[{\"baseVersion\":0,\"author\":\"a\",\"note\":\"\",\"rulesVersion\":2,"
                        + "\"operations\":[{\"op\":\"putMember\",\"member\":{\"id\":\"stable\","
                        + "\"weight\":1,\"keys\":[\"a948904f2f0f479b8f8197694b30184b\"]}}]}]");

        ExitCode code = run(List.of("--patch", patch.toString(), "--config", config.toString()));

        assertThat(code).isEqualTo(ExitCode.OK);
        assertThat(text()).contains("WARNING: no member has an API key any more");
    }

    // The saved list lacks an entry. A verdict over the rest would be of a version that never was.
    @Test
    void gapInTheListIsNoBasisForAVerdict() throws IOException {
        Path config = mDirectory.resolve("page.json");
        Files.writeString(config, "{\"head\":2,\"entries\":[{\"position\":2,\"body\":\"{}\"}]}");
        List<String> arguments =
                List.of("--patch", "examples/entoto/next-late.json", "--config", config.toString());

        assertThatThrownBy(() -> run(arguments))
                .isInstanceOf(IOException.class)
                .hasMessage("the list has position 2 where 1 should follow");
    }

    @Test
    void exactlyOneSourceMustBeGiven() {
        CommandOutcome<ReviewMain.Settings> outcome =
                ReviewMain.command().parse(List.of("--patch", "p"), Map.of());

        assertThat(outcome).isInstanceOf(CommandOutcome.Finished.class);
        CommandOutcome.Finished<?> finished = (CommandOutcome.Finished<?>) outcome;
        assertThat(finished.exitCode()).isEqualTo(ExitCode.USAGE);
        assertThat(finished.errors()).contains("--platform, --config: exactly one must be given");
    }

    private ExitCode run(String site, String patch, String... more) throws IOException {
        List<String> arguments = new ArrayList<>(List.of(more));
        arguments.addAll(List.of("--patch", "examples/" + site + '/' + patch));
        arguments.addAll(List.of("--config", "examples/" + site + "/patches.json"));
        return run(arguments);
    }

    private ExitCode run(List<String> arguments) throws IOException {
        CommandOutcome<ReviewMain.Settings> outcome =
                ReviewMain.command().parse(arguments, Map.of());
        ReviewMain.Settings settings =
                ((CommandOutcome.Ready<ReviewMain.Settings>) outcome).settings();
        return ReviewMain.run(settings, new PrintStream(mOut, true, StandardCharsets.UTF_8));
    }

    private String text() {
        return mOut.toString(StandardCharsets.UTF_8);
    }
}

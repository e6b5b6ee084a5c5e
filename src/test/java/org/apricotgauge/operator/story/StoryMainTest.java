package org.apricotgauge.operator.story;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.io.ByteArrayInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.stream.Collectors;
import org.apricotgauge.cli.CommandOutcome;
import org.apricotgauge.cli.ExitCode;
import org.junit.jupiter.api.Test;

/** Lines of several nodes, in one stream as a collector writes them, and what is told of them. */
class StoryMainTest {
    private static final String LINES =
            String.join(
                    "\n",
                    line("vm-1", "02.000", "target changed", leaving("i-7", 613)),
                    line("vm-2", "04.500", "target changed", leaving("i-7", 2_613)),
                    line("vm-2", "04.400", "run started", run("ab", "i-7")),
                    line("vm-3", "04.700", "request ended", ended("ab", "i-7")),
                    line("vm-2", "04.450", "run started", run("ab.1", "i-71")),
                    line("vm-3", "04.710", "request ended", ended("abc", "i-71")),
                    line("vm-1", "05.000", "target ended", lost("fp-1", "fp-2")),
                    line("vm-2", "05.100", "target ended", lost("fp-3", "fp-1")),
                    line("vm-3", "05.200", "target ended", lost("fp-1")),
                    line("vm-3", "05.200", "RequestHeld", "{\"fingerprint\":\"fp-1\"}"),
                    line("vm-1", "05.350", "RequestHeld", "{\"fingerprint\":\"fp-1\"}"),
                    line("vm-1", "05.300", "run started", "{\"run\":{\"fingerprint\":\"fp-1\"}}"),
                    "OpenJDK 64-Bit Server VM warning: {not a line of a node}");

    private final ByteArrayOutputStream mOut = new ByteArrayOutputStream();

    @Test
    void aTargetsStoryTellsWhoKnewWhenAndWhatWasSentAfterThat() throws Exception {
        // Requests reached a target 2.4 s after its word. The node beside it heard of that word
        // 2.5 s after another had: its last look rested on a view as old as that.
        assertThat(tell("--target=i-7")).isEqualTo(ExitCode.OK);

        assertThat(told().lines().map(line -> line.split(" ")[1]))
                .containsExactly("vm-1", "vm-2", "vm-2", "vm-3", "first");
        assertThat(told())
                .endsWith(
                        "left: first known at 2026-08-01T09:30:02Z; known to 2 nodes, last to vm-2"
                                + " 2500 ms later; 1 runs started after that, the last 2400 ms"
                                + " later\n");
    }

    @Test
    void aRequestsStoryHoldsItsLinesOfBothHopsAndThoseOfItsCalls() throws Exception {
        assertThat(tell("--request=ab")).isEqualTo(ExitCode.OK);

        assertThat(told().lines().map(line -> line.split(" ")[1]))
                .containsExactly("vm-2", "vm-2", "vm-3");
    }

    @Test
    void aFingerprintsStoryTellsHowFastItsCrashesBecameKnown() throws Exception {
        assertThat(tell("--fingerprint=fp-1")).isEqualTo(ExitCode.OK);

        assertThat(told())
                .endsWith(
                        "crashed 3 targets, the third (or last) known at 2026-08-01T09:30:05.200Z;"
                                + " held at 2 nodes, last at vm-1 150 ms later; 1 runs started"
                                + " after that, the last 100 ms later\n");
        assertThat(told().lines()).hasSize(7);
    }

    @Test
    void aThingOfWhichNoLineTellsIsANegativeAnswer() throws Exception {
        assertThat(tell("--request=zz")).isEqualTo(ExitCode.NEGATIVE);
        assertThat(told()).isEmpty();
    }

    @Test
    void bothOrNeitherSubjectIsAFaultOfTheFlags() {
        for (List<String> flags :
                List.of(
                        List.<String>of(),
                        List.of("--request=a", "--target=b"),
                        List.of("--request=a", "--fingerprint=b"))) {
            CommandOutcome<StorySettings> outcome = StorySettings.command().parse(flags, Map.of());

            String errors = ((CommandOutcome.Finished<StorySettings>) outcome).errors();
            assertThat(errors.lines()).hasSize(1);
            assertThat(errors).contains("--request").contains("--target");
        }
    }

    @Test
    void aFileThatCannotBeReadIsNamedWithItsFlag() {
        assertThatThrownBy(() -> tell("--request=a", "--files=/no/such/file"))
                .isInstanceOf(IOException.class)
                .hasMessageContaining("--files")
                .hasMessageContaining("/no/such/file");
    }

    private String told() {
        return mOut.toString(StandardCharsets.UTF_8).replace(System.lineSeparator(), "\n");
    }

    private ExitCode tell(String... flags) throws IOException {
        CommandOutcome<StorySettings> outcome =
                StorySettings.command().parse(List.of(flags), Map.of());
        StorySettings settings = ((CommandOutcome.Ready<StorySettings>) outcome).settings();
        return StoryMain.run(
                settings,
                new ByteArrayInputStream(LINES.getBytes(StandardCharsets.UTF_8)),
                new PrintStream(mOut, true, StandardCharsets.UTF_8));
    }

    private static String line(String node, String second, String message, String change) {
        return """
               %s {"time":"2026-08-01T09:30:%sZ","message":"%s","change":%s}"""
                .formatted(node, second, message, change);
    }

    private static String leaving(String name, long ageMillis) {
        return """
               {"target":{"name":"%1$s","target":"%1$s_0","from":"READY","to":"LEAVING"},\
               "reading":{"revision":27,"source":"platform","viewAgeMillis":%2$d}}"""
                .formatted(name, ageMillis);
    }

    private static String run(String id, String target) {
        return """
               {"run":{"id":"%s","target":"%s_0","view":{"revision":26,"ageMillis":2513}}}"""
                .formatted(id, target);
    }

    private static String lost(String... fingerprints) {
        return Arrays.stream(fingerprints)
                .map(one -> "{\"id\":\"x\",\"fingerprint\":\"%s\"}".formatted(one))
                .collect(Collectors.joining(",", "{\"target\":\"i-9_0\",\"runs\":[", "]}"));
    }

    private static String ended(String id, String target) {
        return """
               {"request":{"id":"%s","steps":["%s_0 at 10.1.0.2 STEADY by revision 26"]}}"""
                .formatted(id, target);
    }
}

package org.apricotgauge.cli;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.io.IOException;
import java.net.BindException;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.apricotgauge.model.Address;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class CommandTest {
    private enum Mode {
        FAST,
        VERY_SLOW
    }

    private record Settings(
            String id,
            int port,
            long waitMillis,
            Mode mode,
            List<Address> peers,
            Optional<Double> ratio,
            boolean isFollowing) {}

    private static final Setting<String> ID = Setting.required("id", SettingKinds.id(), "The id.");
    private static final Setting<Integer> PORT =
            Setting.withDefault("caller-port", SettingKinds.port(), 80, "The port.");
    private static final Setting<Long> WAIT =
            Setting.withDefault("wait-millis", SettingKinds.millis(1, 9), 5L, "The wait.");
    private static final Setting<Mode> MODE =
            Setting.withDefault("mode", SettingKinds.oneOf(Mode.class), Mode.FAST, "The mode.");
    private static final Setting<List<Address>> PEERS =
            Setting.withDefault("peers", SettingKinds.addresses(), List.of(), "The peers.");
    private static final Setting<Optional<Double>> RATIO =
            Setting.optional("ratio", SettingKinds.decimal("share", 0, 1), "The share.");
    private static final Setting<Boolean> FOLLOW = Setting.toggle("follow", "Whether to follow.");
    private static final Command<Settings> COMMAND =
            new Command<>(
                    "tool",
                    "Does a thing.",
                    List.of(ID, PORT, WAIT, MODE, PEERS, RATIO, FOLLOW),
                    values ->
                            new Settings(
                                    values.get(ID),
                                    values.get(PORT),
                                    values.get(WAIT),
                                    values.get(MODE),
                                    values.get(PEERS),
                                    values.get(RATIO),
                                    values.get(FOLLOW)));

    @Test
    void flagGoesBeforeVariableAndVariableBeforeDefault() {
        Map<String, String> environment =
                Map.of("APRICOTGAUGE_CALLER_PORT", "81", "APRICOTGAUGE_WAIT_MILLIS", "7");

        Settings settings =
                ready(
                        environment,
                        "--id=a",
                        "--caller-port",
                        "82",
                        "--mode",
                        "very-slow",
                        "--peers",
                        "10.0.0.1:1,[::1]:2",
                        "--follow");

        List<Address> peers = List.of(new Address("10.0.0.1", 1), new Address("[::1]", 2));
        assertThat(settings)
                .isEqualTo(new Settings("a", 82, 7, Mode.VERY_SLOW, peers, Optional.empty(), true));
    }

    @ParameterizedTest
    @CsvSource(
            delimiter = '|',
            value = {
                "--caller-port 70000|--caller-port: \"70000\" is not allowed; allowed: TCP port",
                "--caller-port x|--caller-port: \"x\" is not allowed; allowed: TCP port",
                "--caller-port|--caller-port: \"\" is not allowed",
                "--wait-millis 0|allowed: milliseconds, a whole number from 1 to 9",
                "--wait-millis -3|\"-3\" is not allowed; allowed: milliseconds",
                "--mode slow|allowed: one of fast, very-slow",
                "--peers 10.0.0.1|allowed: host:port list",
                "--peers 10.0.0.1:0|allowed: host:port list",
                "--peers a:1,,b:2|allowed: host:port list",
                "--ratio NaN|allowed: share, a decimal number from 0.0 to 1.0",
                "--follow maybe|\"maybe\" is not allowed; allowed: true or false",
                "--bogus 5|--bogus: unknown flag",
                "--call 5|--call: unknown flag",
                "-x|-x: unknown flag",
                "stray|stray: unexpected argument",
                "--mode fast --mode fast|--mode: given 2 times"
            })
    void eachFaultIsOneLineWithExitCodeTwo(String args, String line) {
        CommandOutcome.Finished<Settings> finished =
                finished(Map.of(), ("--id a " + args).split(" "));

        assertThat(finished.exitCode()).isEqualTo(ExitCode.USAGE);
        assertThat(finished.errors().lines()).singleElement().asString().contains(line);
        assertThat(finished.errors()).startsWith("tool: ");
    }

    @Test
    void allFaultsAreToldAtOnce() {
        CommandOutcome.Finished<Settings> finished =
                finished(
                        Map.of("APRICOTGAUGE_MODE", "odd\nline"),
                        "--caller-port=-1",
                        "--wait-millis=a");

        assertThat(finished.errors().lines())
                .satisfiesExactly(
                        line ->
                                assertThat(line)
                                        .contains("--id: must be given (or APRICOTGAUGE_ID)"),
                        line -> assertThat(line).contains("--caller-port: \"-1\""),
                        line -> assertThat(line).contains("--wait-millis: \"a\""),
                        line -> assertThat(line).contains("APRICOTGAUGE_MODE: \"odd?line\""));
    }

    @Test
    void unknownFlagAloneIsOneLineThoughASettingIsMissing() {
        CommandOutcome.Finished<Settings> finished = finished(Map.of(), "--bogus");

        assertThat(finished.errors()).isEqualTo("tool: --bogus: unknown flag; see --help\n");
    }

    @Test
    void helpNamesEachFlagWithUnitDefaultAndVariable() {
        CommandOutcome.Finished<Settings> finished = finished(Map.of(), "--bogus", "--help");

        assertThat(finished.exitCode()).isEqualTo(ExitCode.OK);
        assertThat(finished.output())
                .contains("--wait-millis\n", "Unit: milliseconds", "Default: 5\n")
                .contains("Environment: APRICOTGAUGE_WAIT_MILLIS\n");
    }

    @Test
    void groupPicksTheCommandByItsWord() {
        CommandGroup group =
                new CommandGroup("tools", "Does things.")
                        .with("one", COMMAND, settings -> ExitCode.NEGATIVE);

        assertThat(group.run(List.of("one", "--id", "a"), Map.of())).isEqualTo(ExitCode.NEGATIVE);
        assertThat(group.run(List.of("one"), Map.of())).isEqualTo(ExitCode.USAGE);
        assertThat(group.run(List.of("two"), Map.of())).isEqualTo(ExitCode.USAGE);
        assertThat(group.run(List.of(), Map.of())).isEqualTo(ExitCode.USAGE);
        assertThat(group.run(List.of("--help"), Map.of())).isEqualTo(ExitCode.OK);
        assertThat(group.run(List.of("--version"), Map.of())).isEqualTo(ExitCode.OK);
    }

    @Test
    void errorsOfTheBodyBecomeExitCodes() {
        CommandMain<Settings> bind =
                settings -> {
                    throw new IOException("no bind", new BindException("in use"));
                };
        CommandMain<Settings> broken =
                settings -> {
                    throw new IllegalStateException("expected by this test");
                };

        assertThat(COMMAND.run(List.of("--id", "a"), Map.of(), bind))
                .isEqualTo(ExitCode.START_FAILED);
        assertThat(COMMAND.run(List.of("--id", "a"), Map.of(), broken))
                .isEqualTo(ExitCode.INVARIANT_BROKEN);
    }

    @Test
    void settingDeclaredTwiceIsRefused() {
        assertThatThrownBy(() -> new Command<>("tool", "s", List.of(ID, ID), values -> 1))
                .hasMessageContaining("--id is declared twice");
    }

    private static Settings ready(Map<String, String> environment, String... args) {
        return ((CommandOutcome.Ready<Settings>) COMMAND.parse(List.of(args), environment))
                .settings();
    }

    private static CommandOutcome.Finished<Settings> finished(
            Map<String, String> environment, String... args) {
        return (CommandOutcome.Finished<Settings>) COMMAND.parse(List.of(args), environment);
    }
}

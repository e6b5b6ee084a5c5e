package org.apricotgauge.functional;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.regex.Pattern;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;

/** The users' platform has its own names; they stand in one folder and nowhere else. */
class PlatformNamesTest {
    private static final Pattern NAMES =
            Pattern.compile(
                    "X-(Attempt-Id|Timeout-Remaining|Expected-Instance|Caller-Service|Not-Executed"
                            + "|Server-Signature|Instance-Id)|kv-(key|range|watch)|op/config"
                            + "|coldRemainingMs|weightedServices|non_idempotent");

    @Test
    void noPlatformNameStandsOutsideItsFolder() throws IOException {
        Path sources = Path.of("src/main/java");
        Path folder = sources.resolve("org/apricotgauge/platform");
        try (Stream<Path> files = Files.walk(sources)) {
            List<Path> offenders =
                    files.filter(file -> file.toString().endsWith(".java"))
                            .filter(file -> !file.startsWith(folder))
                            .filter(PlatformNamesTest::namesThePlatform)
                            .toList();
            assertThat(offenders).isEmpty();
        }
    }

    private static boolean namesThePlatform(Path file) {
        try {
            return NAMES.matcher(Files.readString(file)).find();
        } catch (IOException e) {
            throw new IllegalStateException("not read: " + file, e);
        }
    }
}

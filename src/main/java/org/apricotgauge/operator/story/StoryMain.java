package org.apricotgauge.operator.story;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStream;
import java.io.InputStreamReader;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.function.Predicate;
import org.apricotgauge.cli.ExitCode;
import org.apricotgauge.log.Logs;

/**
 * The program {@code apricotgauge-story}.
 *
 * <pre>{@code
 * bin/apricotgauge-story --target i-7f3a91c2 --files vm-1.log,vm-2.log
 * }</pre>
 *
 * <p>Exits with 0 if a line was found, with 1 if none was.
 */
public final class StoryMain {

    private StoryMain() {}

    /** Starts the program. */
    public static void main(String[] args) {
        StorySettings.command().runAndExit(args, settings -> run(settings, System.in, System.out));
    }

    static ExitCode run(StorySettings settings, InputStream in, PrintStream out)
            throws IOException {
        Logs.configure(settings.log());
        Story story = new Story(subject(settings));
        if (settings.files().isEmpty()) {
            read(in, "stdin", story);
        }
        for (Path file : settings.files()) {
            try (InputStream lines = Files.newInputStream(file)) {
                read(lines, file.getFileName().toString(), story);
            } catch (IOException e) {
                throw new IOException("--files: " + file + " cannot be read: " + e.getMessage(), e);
            }
        }
        print(settings, story, out);
        return story.lines().isEmpty() ? ExitCode.NEGATIVE : ExitCode.OK;
    }

    private static Predicate<StoryLine> subject(StorySettings settings) {
        if (settings.request().isPresent()) {
            return Story.aboutRequest(settings.request().get());
        }
        return settings.target()
                .map(Story::aboutTarget)
                .orElseGet(() -> Story.aboutFingerprint(settings.fingerprint().orElseThrow()));
    }

    private static void read(InputStream in, String name, Story story) throws IOException {
        BufferedReader reader =
                new BufferedReader(new InputStreamReader(in, StandardCharsets.UTF_8));
        for (String line = reader.readLine(); line != null; line = reader.readLine()) {
            StoryLine.parse(line, name).ifPresent(story::add);
        }
    }

    private static void print(StorySettings settings, Story story, PrintStream out) {
        for (StoryLine line : story.lines()) {
            out.printf("%s %s %s %s%n", line.time(), line.node(), line.message(), line.change());
        }
        if (settings.target().isPresent()) {
            DepartureSummary.of(story.lines()).ifPresent(summary -> out.print(summary.text()));
        }
        if (settings.fingerprint().isPresent()) {
            CrashSummary.of(story.lines()).ifPresent(summary -> out.print(summary.text()));
        }
        out.flush();
    }
}

package org.apricotgauge.knownred;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.lang.reflect.Method;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Set;
import java.util.stream.Collectors;
import org.junit.jupiter.api.extension.ExtensionContext;
import org.junit.jupiter.api.extension.InvocationInterceptor;
import org.junit.jupiter.api.extension.ReflectiveInvocationContext;
import org.opentest4j.TestAbortedException;

/**
 * Passes over the failures of just the tests that {@code KNOWN-RED.txt} lists, and prints them.
 *
 * <p>The file stands at the root of the repository, one line a test: {@code SomeTest#method |
 * command and seed | what was seen | issue}. A listed test runs as all others do. Its failure is
 * reported as skipped; its success is a failure, so that no entry outlives its fault.
 */
public final class KnownRedExtension implements InvocationInterceptor {
    private static final Path FILE = Path.of("KNOWN-RED.txt");

    private final Set<String> mListed = listed();

    private static Set<String> listed() {
        if (!Files.exists(FILE)) {
            return Set.of();
        }
        try {
            List<String> lines = Files.readAllLines(FILE);
            return lines.stream()
                    .filter(line -> !line.isBlank())
                    .map(line -> line.split("\\|", 2)[0].strip())
                    .collect(Collectors.toUnmodifiableSet());
        } catch (IOException e) {
            throw new UncheckedIOException(FILE + " cannot be read", e);
        }
    }

    @Override
    public void interceptTestMethod(
            Invocation<Void> invocation,
            ReflectiveInvocationContext<Method> invoked,
            ExtensionContext context)
            throws Throwable {
        intercept(invocation, context);
    }

    @Override
    public void interceptTestTemplateMethod(
            Invocation<Void> invocation,
            ReflectiveInvocationContext<Method> invoked,
            ExtensionContext context)
            throws Throwable {
        intercept(invocation, context);
    }

    private void intercept(Invocation<Void> invocation, ExtensionContext context) throws Throwable {
        String test =
                context.getRequiredTestClass().getSimpleName()
                        + '#'
                        + context.getRequiredTestMethod().getName();
        if (!mListed.contains(test)) {
            invocation.proceed();
            return;
        }
        try {
            invocation.proceed();
        } catch (Exception | AssertionError e) {
            System.out.println("known red: " + test + ": " + e.getMessage());
            throw new TestAbortedException("known red: " + test, e);
        }
        throw new AssertionError(test + " passes; take it off " + FILE);
    }
}

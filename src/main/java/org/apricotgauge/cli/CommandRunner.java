package org.apricotgauge.cli;

import java.io.IOException;

/** Runs the body of a program and turns its errors into exit codes. */
final class CommandRunner {

    private CommandRunner() {}

    static <S> ExitCode run(String name, S settings, CommandMain<S> main) {
        try {
            return main.run(settings);
        } catch (IOException e) {
            System.err.println(name + ": cannot run: " + reason(e));
            return ExitCode.START_FAILED;
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            System.err.println(name + ": interrupted");
            return ExitCode.START_FAILED;
        } catch (RuntimeException e) {
            System.err.println(name + ": stopped by a broken invariant: " + reason(e));
            e.printStackTrace();
            return ExitCode.INVARIANT_BROKEN;
        }
    }

    static ExitCode print(CommandOutcome.Finished<?> finished) {
        System.out.print(finished.output());
        System.err.print(finished.errors());
        return finished.exitCode();
    }

    static void exit(ExitCode code) {
        System.out.flush();
        System.err.flush();
        System.exit(code.code());
    }

    /** Returns the message with that of its root cause, which tells what the system said. */
    private static String reason(Exception e) {
        Throwable root = e;
        while (root.getCause() != null) {
            root = root.getCause();
        }
        String message = e.getMessage() == null ? e.getClass().getSimpleName() : e.getMessage();
        boolean saysMore = root.getMessage() != null && !message.contains(root.getMessage());
        String whole = saysMore ? message + " (" + root.getMessage() + ')' : message;
        return whole.replaceAll("\\p{Cntrl}+", " ");
    }
}

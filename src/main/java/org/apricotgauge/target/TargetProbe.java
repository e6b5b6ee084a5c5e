package org.apricotgauge.target;

import java.net.ConnectException;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import org.apricotgauge.model.Target;
import org.eclipse.jetty.client.Connection;
import org.eclipse.jetty.client.HttpClient;

/** Finds out whether anything listens at a target's address. */
@FunctionalInterface
interface TargetProbe {

    /** What becomes of a connection to a target. */
    enum Answer {
        /** It is accepted: the process lives. */
        ACCEPTS,
        /** It is refused: no process listens. */
        REFUSES,
        /** Nothing is heard in time; the machine or the way to it may be at fault. */
        SILENT
    }

    /** Opens a connection to the target, and closes it at once. */
    CompletableFuture<Answer> ask(Target target);

    /** Returns a probe that connects as the client does, without a request. */
    static TargetProbe connecting(HttpClient client) {
        return target ->
                client.resolveDestination(client.newRequest(target.host(), target.port()))
                        .newConnection()
                        .handle(TargetProbe::answerOf);
    }

    private static Answer answerOf(Connection connection, Throwable failure) {
        if (failure == null) {
            connection.close();
            return Answer.ACCEPTS;
        }
        Throwable cause =
                failure instanceof CompletionException && failure.getCause() != null
                        ? failure.getCause()
                        : failure;
        return cause instanceof ConnectException ? Answer.REFUSES : Answer.SILENT;
    }
}

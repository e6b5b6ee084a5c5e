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
    enum Result {
        /** It is accepted: the process lives. */
        ACCEPTED,
        /** It is refused: no process listens. */
        REFUSED,
        /** Nothing is heard in time; the machine or the way to it may be at fault. */
        UNREACHABLE
    }

    /** Opens a connection to the target, and closes it at once. */
    CompletableFuture<Result> probe(Target target);

    /** Returns a probe that connects as the client does, without a request. */
    static TargetProbe using(HttpClient client) {
        return target ->
                client.resolveDestination(client.newRequest(target.host(), target.port()))
                        .newConnection()
                        .handle(TargetProbe::resultOf);
    }

    private static Result resultOf(Connection connection, Throwable failure) {
        if (failure == null) {
            connection.close();
            return Result.ACCEPTED;
        }
        Throwable cause =
                failure instanceof CompletionException && failure.getCause() != null
                        ? failure.getCause()
                        : failure;
        return cause instanceof ConnectException ? Result.REFUSED : Result.UNREACHABLE;
    }
}

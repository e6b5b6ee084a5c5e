package org.apricotgauge.target;

import java.net.ConnectException;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import org.apricotgauge.model.Target;
import org.eclipse.jetty.client.Connection;
import org.eclipse.jetty.client.HttpClient;

/** Checks whether a process listens at a target's address. */
@FunctionalInterface
interface TargetProbe {

    /** Result of a connection attempt to a target. */
    enum Result {
        /** The connection was accepted: the process is running. */
        ACCEPTED,
        /** The connection was refused: no process listens. */
        REFUSED,
        /** No response in time; the machine or the network path may have failed. */
        UNREACHABLE
    }

    /** Connects to the target and closes the connection at once. */
    CompletableFuture<Result> probe(Target target);

    /** Returns a probe that opens connections of an HTTP client without sending a request. */
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

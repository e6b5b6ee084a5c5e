package org.apricotgauge.target;

import java.net.ConnectException;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import org.apricotgauge.http.client.UpstreamClient;
import org.apricotgauge.model.Address;
import org.apricotgauge.model.Target;

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
    static TargetProbe using(UpstreamClient client) {
        return target ->
                client.tryConnect(new Address(target.host(), target.port()))
                        .handle(TargetProbe::resultOf);
    }

    private static Result resultOf(Void connected, Throwable failure) {
        if (failure == null) {
            return Result.ACCEPTED;
        }
        Throwable cause =
                failure instanceof CompletionException && failure.getCause() != null
                        ? failure.getCause()
                        : failure;
        return cause instanceof ConnectException ? Result.REFUSED : Result.UNREACHABLE;
    }
}

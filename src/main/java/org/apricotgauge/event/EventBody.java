package org.apricotgauge.event;

import java.util.Optional;

/**
 * What happened: one record for each kind of event.
 *
 * <p>A new kind is a record in this package, named in the {@code permits} clause; its type in JSON
 * is its name in lower case with hyphens, and its fields are its components.
 */
public sealed interface EventBody
        permits NodeStarted,
                VersionInForce,
                PatchRefused,
                TargetEjected,
                TargetReadmitted,
                TargetLeaving,
                TargetLimited,
                VmLeaving,
                PeerSuspected,
                PeerAlive,
                WatchTakenOver,
                WatchReleased,
                FloorReached,
                StopPhaseEntered,
                FenceUsed,
                RequestHeld,
                RequestReleased,
                UnrecognizedBody {

    /** Returns the service that the event is about, if it is about one. */
    default Optional<String> aboutService() {
        return Optional.empty();
    }

    /** Returns the target that the event is about, if it is about one. */
    default Optional<String> aboutTarget() {
        return Optional.empty();
    }

    /** Returns the caller's request that the event is about, if it is about one. */
    default Optional<String> aboutRequest() {
        return Optional.empty();
    }

    /** Returns whether events of this kind come with requests, not with changes of state. */
    default boolean comesWithRequests() {
        return false;
    }
}

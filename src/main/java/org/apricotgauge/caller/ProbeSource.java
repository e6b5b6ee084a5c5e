package org.apricotgauge.caller;

import java.util.Optional;

/** Selects the ejected targets that idempotent requests of a service are to probe. */
@FunctionalInterface
public interface ProbeSource {

    /** Returns the id of a target to probe, if any; each probe is granted to one request only. */
    Optional<String> tryAcquire(String serviceId);
}

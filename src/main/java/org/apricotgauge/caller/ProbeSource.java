package org.apricotgauge.caller;

import java.util.Optional;

/** Says which ejected target, if any, a repeatable request of a service should try now. */
@FunctionalInterface
public interface ProbeSource {

    /** Takes the right to try a target of the service; each right is given once. */
    Optional<String> tryAcquire(String service);
}

package org.apricotgauge.event;

import java.util.Optional;
import org.apricotgauge.model.Checks;

/**
 * A sent attempt was fenced by its guard.
 *
 * @param service id of the service
 * @param target id of the target
 * @param requestId id of the caller's request
 * @param result what the guard answered
 */
public record FenceUsed(String service, String target, String requestId, FenceResult result)
        implements EventBody {

    /** Checks the parts. */
    public FenceUsed {
        Checks.id("service", service);
        Checks.id("target", target);
        requestId = EventText.bounded("requestId", requestId);
        Checks.notNull("result", result);
    }

    @Override
    public Optional<String> aboutService() {
        return Optional.of(service);
    }

    @Override
    public Optional<String> aboutTarget() {
        return Optional.of(target);
    }

    @Override
    public Optional<String> aboutRequest() {
        return Optional.of(requestId);
    }

    @Override
    public boolean comesWithRequests() {
        return true;
    }
}

package org.apricotgauge.decision.routing;

import java.util.List;
import java.util.random.RandomGenerator;
import org.apricotgauge.model.Route;
import org.apricotgauge.model.ServiceShare;

/**
 * Chooses the service of a route that serves a request, in proportion to the weights of the split.
 *
 * <pre>{@code
 * String service = SplitPolicy.choose(route, ThreadLocalRandom.current());
 * }</pre>
 *
 * <p>The choice is made once for each request and ignores load: a request that exceeds the capacity
 * of its service is rejected there. If it moved to another service, the shares would no longer be
 * those that the operator set, and a trial with a tenth of the traffic would get all of it once the
 * main service is full.
 */
public final class SplitPolicy {

    private SplitPolicy() {}

    /** Returns the id of the service that serves one request of the route. */
    public static String choose(Route route, RandomGenerator random) {
        List<ServiceShare> shares = route.shares();
        int total = shares.stream().mapToInt(ServiceShare::weight).sum();
        if (shares.size() == 1 || total == 0) {
            return route.service();
        }
        int drawn = random.nextInt(total);
        for (ServiceShare share : shares) {
            drawn -= share.weight();
            if (drawn < 0) {
                return share.service();
            }
        }
        throw new IllegalStateException("weights do not add up to " + total + ": " + shares);
    }
}

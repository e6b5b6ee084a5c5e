package org.apricotgauge.decision.detection;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.apricotgauge.model.Checks;
import org.apricotgauge.model.Service;

/**
 * Detects and ejects the gray targets of one service, in one node.
 *
 * <pre>{@code
 * ServiceDetector detector = new ServiceDetector(service, incarnation);
 * detector.observe(observation);
 * Verdicts verdicts = detector.decide(ticker.millis(), membership);
 * }</pre>
 *
 * <p>All methods may be called by any thread; they lock the detector for well under a millisecond.
 * Readers on a request's path read the published {@link Verdicts} and never lock.
 */
public final class ServiceDetector {
    private final Service mService;
    private final long mIncarnation;
    private long mSequence;

    /**
     * Makes a detector without evidence.
     *
     * @param service the service, with its floor and odds
     * @param incarnation start of this process, larger than that of earlier ones on this node
     */
    public ServiceDetector(Service service, long incarnation) {
        mService = Checks.notNull("service", service);
        mIncarnation = incarnation;
    }

    /** Takes in one request that this node saw end. */
    public synchronized void observe(Observation observation) {
        Checks.notNull("observation", observation);
    }

    /** Returns this node's own evidence, to be sent to the other nodes of the service. */
    public synchronized EvidenceDigest digest() {
        mSequence++;
        return new EvidenceDigest(
                EvidenceDigest.FORMAT_VERSION, mIncarnation, mSequence, new ArrayList<>());
    }

    /**
     * Takes in another node's evidence.
     *
     * @param reporterNode the node that observed it
     * @param digest its counts; one of another format, or not newer than the last, changes nothing
     * @param nowMillis the present time on this node's clock
     */
    public synchronized void mergeRemote(
            String reporterNode, EvidenceDigest digest, long nowMillis) {
        Checks.notNull("reporterNode", reporterNode);
        Checks.notNull("digest", digest);
    }

    /**
     * Decides about every configured target.
     *
     * @param nowMillis the present time on this node's clock
     * @param membership all configured targets
     * @throws IllegalStateException if an ejection would break the floor, which a fault of this
     *     class alone can bring about
     */
    public synchronized Verdicts decide(long nowMillis, Membership membership) {
        Checks.notNull("membership", membership);
        Map<String, Verdict> verdicts = new HashMap<>();
        for (Membership.Entry entry : membership.entries()) {
            verdicts.put(
                    entry.targetId(),
                    new Verdict(
                            entry.targetId(),
                            VerdictState.HEALTHY,
                            1,
                            VerdictScope.TARGET,
                            0,
                            1,
                            false,
                            "no evidence"));
        }
        return new Verdicts(
                nowMillis,
                verdicts,
                mService.floorSlots(membership.configuredSlots()),
                membership.presentSlots(),
                List.of());
    }
}

package org.apricotgauge.target;

import java.util.List;
import java.util.Optional;
import org.apricotgauge.decision.detection.ObservedOutcome;
import org.apricotgauge.decision.health.DegradationEstimate;
import org.apricotgauge.model.SiteView;
import org.apricotgauge.model.StartLimit;
import org.apricotgauge.model.Target;
import org.eclipse.jetty.http.HttpFields;

/** Observes requests at the targets of this VM; called on request threads. */
public interface GuardObserver {

    /**
     * Called once for each request that was sent to a target.
     *
     * @param target the target
     * @param outcome how the run ended
     * @param serviceMicros time from the first byte to the end of the answer, in microseconds
     */
    void onOutcome(Target target, ObservedOutcome outcome, long serviceMicros);

    /**
     * Returns the service time after which a request that still runs is observed as unresponsive.
     *
     * @return microseconds; {@link Long#MAX_VALUE} while nothing is known about the service
     */
    long unresponsiveAfterMicros(Target target);

    /**
     * Called with the head of each attempt that arrives.
     *
     * @param entryHost IP address of the entry that sent it
     */
    void onAttemptArrived(Target target, String entryHost, HttpFields headers);

    /**
     * Called after each observation that updates the target's health.
     *
     * @param health probability that the target is degraded, as sent to entries
     * @param loadPermille requests running and waiting, in permille of its slots
     */
    void onHealthObserved(Target target, DegradationEstimate.Report health, int loadPermille);

    /** Returns whether this node's view of the site is fresh enough to send requests by it. */
    boolean isSiteViewFresh();

    /** Returns this node's present view of the site, to be logged with a decision. */
    SiteView siteView();

    /** Called when the request with this id starts at a target. */
    void onRunStarted(String requestId);

    /** Called when the request with this id has ended at its target. */
    void onRunEnded(String requestId);

    /** Called when a retry of the request with this id starts at a target. */
    void onRetryStarted(String requestId);

    /** Returns whether a nested call made for the request with this id has failed. */
    boolean hasFailedCall(String requestId);

    /**
     * Called when the rate limit that a target declares has changed.
     *
     * @param limit the new limit; empty if the target no longer declares one
     */
    void onTargetLimitChanged(Target target, Optional<StartLimit> limit);

    /** Called when a target announces in an answer that it is leaving. */
    void onTargetLeaving(Target target);

    /**
     * Called when a target's process has ended while it ran requests.
     *
     * @param runs the runs that broke with it
     */
    void onTargetEnded(Target target, List<BrokenRun> runs);

    /** Called before each acknowledgement, to add headers for the entry. */
    void addAcknowledgementHeaders(HttpFields.Mutable headers);

    /** Called before each answer, to add headers for the entry. */
    void addAnswerHeaders(Target target, HttpFields.Mutable headers);
}

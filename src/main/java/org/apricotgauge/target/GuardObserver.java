package org.apricotgauge.target;

import java.util.List;
import java.util.Optional;
import org.apricotgauge.decision.detection.ObservedOutcome;
import org.apricotgauge.decision.health.DegradationEstimate;
import org.apricotgauge.model.SiteView;
import org.apricotgauge.model.StartLimit;
import org.apricotgauge.model.Target;
import org.eclipse.jetty.http.HttpFields;

/** Hears how requests ended at the targets of this VM; called on request threads. */
public interface GuardObserver {

    /**
     * Called once for each request that was sent to a target.
     *
     * @param target the target
     * @param outcome how it ended
     * @param serviceMicros time from the first byte to the end of the answer, in microseconds
     */
    void onOutcome(Target target, ObservedOutcome outcome, long serviceMicros);

    /**
     * Returns the service time after which a request that still runs is observed as overdue.
     *
     * @return microseconds; {@link Long#MAX_VALUE} while nothing is known of the service
     */
    long unresponsiveAfterMicros(Target target);

    /**
     * Called with the head of each attempt that arrives.
     *
     * @param entryHost IP number of the entry that sent it
     */
    void onAttemptArrived(Target target, String entryHost, HttpFields headers);

    /**
     * Called after each request that showed something of the target's health.
     *
     * @param health how likely the target is to be sick
     * @param loadPermille requests running and waiting, in permille of its slots
     */
    void onHealthObserved(Target target, DegradationEstimate.Report health, int loadPermille);

    /** Returns whether what this node knows of the site is young enough to send work by it. */
    boolean isSiteViewFresh();

    /** Returns what this node knows of the site now, for the line of a decision. */
    SiteView siteView();

    /** Called when a request, by its id, starts at a target. */
    void onRunStarted(String requestId);

    /** Called when a request, by its id, has ended at its target. */
    void onRunEnded(String requestId);

    /** Called when a request that ran at another target before, by its id, starts at a target. */
    void onRetryStarted(String requestId);

    /** Returns whether a call that a target made for this request, by its id, has failed. */
    boolean hasFailedCall(String requestId);

    /**
     * Called when a target names another limit than before.
     *
     * @param limit what it names from now on; nothing if it names none
     */
    void onTargetLimitChanged(Target target, Optional<StartLimit> limit);

    /** Called when a target says in an answer that it leaves. */
    void onTargetLeaving(Target target);

    /**
     * Called when a target's process ended while it ran requests.
     *
     * @param runs the requests that were at work
     */
    void onTargetEnded(Target target, List<BrokenRun> runs);

    /** Called before each acknowledgement, to add what entries should learn with it. */
    void addAcknowledgementHeaders(HttpFields.Mutable headers);

    /** Called before each answer, to add what entries should learn with it. */
    void addAnswerHeaders(Target target, HttpFields.Mutable headers);
}

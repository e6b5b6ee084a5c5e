package org.apricotgauge.caller;

import java.util.List;
import org.apricotgauge.decision.attempt.FenceAnswer;
import org.apricotgauge.decision.attempt.Outcome;
import org.apricotgauge.decision.detection.ObservedOutcome;
import org.apricotgauge.model.SiteView;
import org.apricotgauge.model.Target;
import org.apricotgauge.target.BrokenRun;
import org.eclipse.jetty.http.HttpFields;

/** Observes attempts and requests of the entry; called on request threads. */
public interface EntryObserver {

    /**
     * Called once for each attempt that has ended.
     *
     * @param target the target of the attempt
     * @param outcome how it ended
     * @param totalMicros time from sending it to the head of the answer, in microseconds
     */
    void onAttemptEnded(Target target, ObservedOutcome outcome, long totalMicros);

    /** Returns the number of nodes in the fleet. */
    int nodeCount();

    /** Returns the current view of the site, for the log line of a request. */
    SiteView siteView();

    /**
     * Called before each attempt is sent to a guard, to add headers for the guard.
     *
     * @return the time of the call, to be passed to {@link #onGuardAcknowledged}
     */
    long addHopHeaders(HttpFields.Mutable headers);

    /**
     * Called with the head of each acknowledgement of a guard.
     *
     * @param startMillis what {@link #addHopHeaders} returned
     */
    void onGuardAcknowledged(HttpFields headers, long startMillis);

    /** Called with the head of each answer of a guard, for the guard's own headers. */
    void onGuardAnswered(Target target, HttpFields headers);

    /** Called once for each request with the outcome that is sent to its caller. */
    void onRequestEnded(String service, Outcome outcome);

    /** Returns whether a request, by its id, is running at a target of this VM. */
    boolean isRunning(String requestId);

    /** Returns whether a request, by its id, is running at a target of this VM as a retry. */
    boolean isRetry(String requestId);

    /** Called when a nested call has failed, with the id of the request that it was made for. */
    void onNestedCallFailed(String parentId);

    /** Called when an answer of a target or of its guard reports that the target is leaving. */
    void onTargetLeaving(Target target);

    /**
     * Called when the process of a target that was reached directly ended while it ran requests.
     *
     * @param runs the requests that were running
     */
    void onTargetEnded(Target target, List<BrokenRun> runs);

    /**
     * Called once for each fence that has ended.
     *
     * @param target the target of the attempt
     * @param attempt the attempt's id
     * @param answer the guard's answer, or null if none arrived in time
     */
    void onFenceEnded(Target target, String attempt, FenceAnswer answer);
}

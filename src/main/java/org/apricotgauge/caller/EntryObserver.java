package org.apricotgauge.caller;

import java.util.List;
import org.apricotgauge.decision.attempt.FenceAnswer;
import org.apricotgauge.decision.attempt.Outcome;
import org.apricotgauge.decision.detection.ObservedOutcome;
import org.apricotgauge.model.SiteView;
import org.apricotgauge.model.Target;
import org.apricotgauge.target.BrokenRun;
import org.eclipse.jetty.http.HttpFields;

/** Hears how attempts and requests ended, as the entry saw it; called on request threads. */
public interface EntryObserver {

    /**
     * Called once for each attempt.
     *
     * @param target the target it was meant for
     * @param outcome how it ended
     * @param totalMicros time from sending it to the head of the answer, in microseconds
     */
    void onAttemptEnded(Target target, ObservedOutcome outcome, long totalMicros);

    /** Returns how many nodes there are. */
    int nodeCount();

    /** Returns what this node knows of the site now, for the line of a decision. */
    SiteView siteView();

    /**
     * Called before each attempt is sent to a guard, to add what the guard should learn.
     *
     * @return a time to give to {@link #onGuardAcknowledged}
     */
    long addHopHeaders(HttpFields.Mutable headers);

    /**
     * Called with the head of each acknowledgement of a guard.
     *
     * @param askedMillis what {@link #addHopHeaders} returned
     */
    void onGuardAcknowledged(HttpFields headers, long askedMillis);

    /** Called with the head of each answer of a guard, for what it tells beside the answer. */
    void onGuardAnswered(Target target, HttpFields headers);

    /** Called once for each request with what its caller is told. */
    void onRequestEnded(String service, Outcome outcome);

    /** Returns whether a request, by its id, is at work at a target of this VM. */
    boolean isRunning(String requestId);

    /** Returns whether a request at a target of this VM, by its id, ran at another before. */
    boolean isRetry(String requestId);

    /** Called when a call that a target made for another request, of this id, has failed. */
    void onNestedCallFailed(String parentId);

    /** Called when a target says in an answer, or its guard tells, that it leaves. */
    void onTargetLeaving(Target target);

    /**
     * Called when the process of a target that was reached directly ended while it ran requests.
     *
     * @param runs the requests that were at work
     */
    void onTargetEnded(Target target, List<BrokenRun> runs);

    /**
     * Called once for each fence.
     *
     * @param target the target of the attempt
     * @param attempt the attempt's id
     * @param answer the guard's word, or null if none came in time
     */
    void onFenceEnded(Target target, String attempt, FenceAnswer answer);
}

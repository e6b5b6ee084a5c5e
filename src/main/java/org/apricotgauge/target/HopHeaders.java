package org.apricotgauge.target;

import java.util.Locale;
import org.apricotgauge.decision.admission.QueueingPolicy;
import org.apricotgauge.decision.health.HealthGate;
import org.apricotgauge.http.HeaderNames;
import org.apricotgauge.model.Priority;
import org.eclipse.jetty.http.HttpFields;

/** Reads what an entry says about its request in the headers of the hop. */
final class HopHeaders {
    private HopHeaders() {}

    // Entries of older releases don't send the header; their requests have no target restriction.
    static HealthGate.TargetRestriction targetRestrictionOf(HttpFields headers) {
        String value = headers.get(HeaderNames.TARGET_RESTRICTION);
        for (HealthGate.TargetRestriction targetRestriction :
                HealthGate.TargetRestriction.values()) {
            if (targetRestriction.name().toLowerCase(Locale.ROOT).equals(value)) {
                return targetRestriction;
            }
        }
        return HealthGate.TargetRestriction.NONE;
    }

    // Entries of older releases don't send the header; their requests may be queued.
    static QueueingPolicy queueingPolicyOf(HttpFields headers) {
        String value = headers.get(HeaderNames.QUEUEING_POLICY);
        for (QueueingPolicy queueingPolicy : QueueingPolicy.values()) {
            if (queueingPolicy.name().toLowerCase(Locale.ROOT).equals(value)) {
                return queueingPolicy;
            }
        }
        return QueueingPolicy.MAY_WAIT;
    }

    // Entries of older releases don't send the header; their attempts end before the next begins.
    static boolean canRetryBeside(HttpFields headers) {
        return headers.contains(HeaderNames.RETRY_BESIDE);
    }

    static Priority priorityOf(HttpFields headers) {
        String value = headers.get(HeaderNames.PRIORITY);
        for (Priority priority : Priority.values()) {
            if (priority.name().toLowerCase(Locale.ROOT).equals(value)) {
                return priority;
            }
        }
        return Priority.NORMAL;
    }
}

package org.apricotgauge.caller;

import org.apricotgauge.decision.admission.AdmissionConfig;
import org.apricotgauge.decision.attempt.KeyLimits;
import org.apricotgauge.decision.attempt.RetryAllowancePolicy;
import org.apricotgauge.decision.attempt.RetryPolicy;
import org.apricotgauge.http.FleetDialect;
import org.apricotgauge.http.SiteDialect;
import org.apricotgauge.model.Checks;

/**
 * What differs between the sites that an entry serves.
 *
 * <pre>{@code
 * EntryOptions options = EntryOptions.of(KeyLimits.DEFAULT);
 * }</pre>
 *
 * @param dialect headers of the site's callers and targets
 * @param reach whether targets can be reached past their guards
 * @param repeatPolicy how often a request is sent
 * @param keyLimits bounds of the memory of Idempotency-Keys
 * @param entryRetries which retries the entry may send
 * @param guardRetries which retries the guard lets through to a target
 */
public record EntryOptions(
        SiteDialect dialect,
        Reach reach,
        RetryPolicy repeatPolicy,
        KeyLimits keyLimits,
        RetryAllowancePolicy entryRetries,
        RetryAllowancePolicy guardRetries) {

    /** Which ways lead to a target. */
    public enum Reach {
        /** Through its guard or, where there is none, straight. */
        ANY_WAY,
        /** Through its guard alone: nothing but processes of its own VM can connect to a target. */
        GUARDS_ONLY
    }

    /** Returns who uses the slots of targets. */
    public AdmissionConfig.SlotUse slotUse() {
        return reach == Reach.GUARDS_ONLY
                ? AdmissionConfig.SlotUse.EXCLUSIVE
                : AdmissionConfig.SlotUse.SHARED;
    }

    /** Checks the parts. */
    public EntryOptions {
        Checks.notNull("dialect", dialect);
        Checks.notNull("reach", reach);
        Checks.notNull("repeatPolicy", repeatPolicy);
        Checks.notNull("keyLimits", keyLimits);
        Checks.notNull("entryRetries", entryRetries);
        Checks.notNull("guardRetries", guardRetries);
    }

    /** Returns the options of a site that speaks the fleet's own dialect. */
    public static EntryOptions of(KeyLimits keyLimits) {
        return new EntryOptions(
                FleetDialect.INSTANCE,
                Reach.ANY_WAY,
                RetryPolicy.DEFAULT,
                keyLimits,
                RetryAllowancePolicy.PER_NODE,
                RetryAllowancePolicy.UNBOUNDED);
    }
}

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
 * @param targetAccess whether targets can be reached past their guards
 * @param retryPolicy how often a request is sent
 * @param keyLimits bounds of the memory of Idempotency-Keys
 * @param entryRetryAllowance which retries the entry may send
 * @param guardRetryAllowance which retries the guard lets through to a target
 */
public record EntryOptions(
        SiteDialect dialect,
        TargetAccess targetAccess,
        RetryPolicy retryPolicy,
        KeyLimits keyLimits,
        RetryAllowancePolicy entryRetryAllowance,
        RetryAllowancePolicy guardRetryAllowance) {

    /** Which ways lead to a target. */
    public enum TargetAccess {
        /** Through its guard or, where there is none, straight. */
        GUARD_OR_DIRECT,
        /** Through its guard alone: nothing but processes of its own VM can connect to a target. */
        GUARDS_ONLY
    }

    /** Returns who uses the slots of targets. */
    public AdmissionConfig.SlotUse slotUse() {
        return targetAccess == TargetAccess.GUARDS_ONLY
                ? AdmissionConfig.SlotUse.EXCLUSIVE
                : AdmissionConfig.SlotUse.SHARED;
    }

    /** Checks the parts. */
    public EntryOptions {
        Checks.notNull("dialect", dialect);
        Checks.notNull("reach", targetAccess);
        Checks.notNull("repeatPolicy", retryPolicy);
        Checks.notNull("keyLimits", keyLimits);
        Checks.notNull("entryRetries", entryRetryAllowance);
        Checks.notNull("guardRetries", guardRetryAllowance);
    }

    /** Returns the options of a site that speaks the fleet's own dialect. */
    public static EntryOptions of(KeyLimits keyLimits) {
        return new EntryOptions(
                FleetDialect.INSTANCE,
                TargetAccess.GUARD_OR_DIRECT,
                RetryPolicy.DEFAULT,
                keyLimits,
                RetryAllowancePolicy.PER_NODE,
                RetryAllowancePolicy.UNBOUNDED);
    }
}

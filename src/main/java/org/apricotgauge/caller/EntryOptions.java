package org.apricotgauge.caller;

import org.apricotgauge.decision.admission.AdmissionConfig;
import org.apricotgauge.decision.attempt.KeyLimits;
import org.apricotgauge.decision.attempt.RetryAllowancePolicy;
import org.apricotgauge.decision.attempt.RetryPolicy;
import org.apricotgauge.decision.routing.LoadSharing;
import org.apricotgauge.http.FleetDialect;
import org.apricotgauge.http.SiteDialect;
import org.apricotgauge.model.Checks;

/**
 * Options of the site that an entry serves.
 *
 * <pre>{@code
 * EntryOptions options = EntryOptions.of(KeyLimits.DEFAULT);
 * }</pre>
 *
 * @param dialect header conventions of the site's callers and targets
 * @param targetAccess whether targets can be reached without their guards
 * @param retryPolicy decides on retries
 * @param keyLimits bounds of the ledger of Idempotency-Keys
 * @param entryRetryAllowance retries that the entry may send
 * @param guardRetryAllowance retries that the guard forwards to a target
 * @param loadSharing decisions by the load of a whole service that the node takes part in
 */
public record EntryOptions(
        SiteDialect dialect,
        TargetAccess targetAccess,
        RetryPolicy retryPolicy,
        KeyLimits keyLimits,
        RetryAllowancePolicy entryRetryAllowance,
        RetryAllowancePolicy guardRetryAllowance,
        LoadSharing loadSharing) {

    /** How an entry can reach a target. */
    public enum TargetAccess {
        /** Through its guard or, without a reachable guard, directly. */
        GUARD_OR_DIRECT,
        /** Through its guard only: a target accepts connections from its own VM alone. */
        GUARDS_ONLY
    }

    /** Returns who uses the slots of targets: the guards alone, or others as well. */
    public AdmissionConfig.SlotUse slotUse() {
        return targetAccess == TargetAccess.GUARDS_ONLY
                ? AdmissionConfig.SlotUse.EXCLUSIVE
                : AdmissionConfig.SlotUse.SHARED;
    }

    /** Validates the components. */
    public EntryOptions {
        Checks.notNull("dialect", dialect);
        Checks.notNull("targetAccess", targetAccess);
        Checks.notNull("retryPolicy", retryPolicy);
        Checks.notNull("keyLimits", keyLimits);
        Checks.notNull("entryRetryAllowance", entryRetryAllowance);
        Checks.notNull("guardRetryAllowance", guardRetryAllowance);
        Checks.notNull("loadSharing", loadSharing);
    }

    /** Returns the options of a site with the fleet's own header conventions. */
    public static EntryOptions of(KeyLimits keyLimits) {
        return new EntryOptions(
                FleetDialect.INSTANCE,
                TargetAccess.GUARD_OR_DIRECT,
                RetryPolicy.DEFAULT,
                keyLimits,
                RetryAllowancePolicy.PER_NODE,
                RetryAllowancePolicy.UNBOUNDED,
                LoadSharing.NONE);
    }
}

package org.apricotgauge.caller;

import org.apricotgauge.decision.admission.AdmissionConfig;
import org.apricotgauge.decision.attempt.KeyLimits;
import org.apricotgauge.decision.attempt.RepeatPolicy;
import org.apricotgauge.decision.attempt.RetryPool;
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
 * @param quietPathMillis a path to a guard that has carried nothing for longer is asked about
 *     before it gets a request that must not repeat, in milliseconds
 * @param entryRetries which retries the entry may send
 * @param guardRetries which retries the guard lets through to a target
 */
public record EntryOptions(
        SiteDialect dialect,
        Reach reach,
        RepeatPolicy repeatPolicy,
        KeyLimits keyLimits,
        long quietPathMillis,
        RetryPool entryRetries,
        RetryPool guardRetries) {

    /**
     * How long a path may have been quiet by default, in milliseconds. Where some paths are cut for
     * seconds now and then, hardly one is cut within so short a time after it carried something.
     */
    public static final long QUIET_PATH_MILLIS = 300;

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
        Checks.inRange("quietPathMillis", quietPathMillis, 0, Long.MAX_VALUE);
        Checks.notNull("entryRetries", entryRetries);
        Checks.notNull("guardRetries", guardRetries);
    }

    /** Returns the options of a site that speaks the fleet's own dialect. */
    public static EntryOptions of(KeyLimits keyLimits) {
        return new EntryOptions(
                FleetDialect.INSTANCE,
                Reach.ANY_WAY,
                RepeatPolicy.DEFAULT,
                keyLimits,
                QUIET_PATH_MILLIS,
                RetryPool.PER_NODE,
                RetryPool.UNBOUNDED);
    }

    /** Returns these options with another bound on quiet paths. */
    public EntryOptions withQuietPathMillis(long millis) {
        return new EntryOptions(
                dialect, reach, repeatPolicy, keyLimits, millis, entryRetries, guardRetries);
    }
}

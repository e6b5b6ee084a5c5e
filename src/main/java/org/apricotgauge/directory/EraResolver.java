package org.apricotgauge.directory;

import java.util.function.BooleanSupplier;
import org.apricotgauge.model.Checks;
import org.apricotgauge.model.StorePosition;

/**
 * Finds the era of what nodes of earlier releases tell without one.
 *
 * <p>Their revisions may be of any era, so they confirm no view of a known era. A node that the
 * platform does not answer takes their changes for those of its own era, unless it has seen a
 * restore; it would learn no changes otherwise. Thread-safe.
 */
final class EraResolver {
    private final SiteState mSite;
    private final BooleanSupplier mIsPlatformUnavailable;

    EraResolver(SiteState site, BooleanSupplier isPlatformUnavailable) {
        mSite = Checks.notNull("site", site);
        mIsPlatformUnavailable = Checks.notNull("isPlatformUnavailable", isPlatformUnavailable);
    }

    /** Returns a position in the era that it is taken for; that may be the unknown one. */
    StorePosition resolve(StorePosition told) {
        return isTakenForOwnEra(told) ? told.inEra(ownEra()) : told;
    }

    /** Returns a page in the era that it is taken for; without its age if that was not told. */
    PublishedPage resolve(PublishedPage page) {
        if (page.position().era() == ownEra() || page.position().hasEra()) {
            return page;
        }
        PublishedPage unconfirmed = page.withAgeMillis(PublishedPage.UNKNOWN_AGE);
        // What a full page lacks may have been lost; changes were made in any case.
        return !page.full() && isTakenForOwnEra(page.position())
                ? unconfirmed.inEra(ownEra())
                : unconfirmed;
    }

    private boolean isTakenForOwnEra(StorePosition told) {
        return !told.hasEra() && !mSite.wasRestored() && mIsPlatformUnavailable.getAsBoolean();
    }

    private long ownEra() {
        return mSite.items().position().era();
    }
}

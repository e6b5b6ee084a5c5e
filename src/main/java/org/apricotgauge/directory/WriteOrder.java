package org.apricotgauge.directory;

import org.apricotgauge.model.Checks;

/**
 * Compares two writes of one key by the order that the writes themselves carry: the version of a
 * configuration, or the sequence of a target's process.
 *
 * <pre>{@code
 * boolean known = order.isNewer(lost, stored);
 * }</pre>
 *
 * <p>This order holds whatever the platform's store has lost. Of writes that it does not order,
 * such as those of two processes of a target, none is newer. A removed item with a value stands for
 * the end of the registration that it had last.
 */
final class WriteOrder {
    private final SiteDecoder mDecoder;

    WriteOrder(SiteDecoder decoder) {
        mDecoder = Checks.notNull("decoder", decoder);
    }

    /** Returns whether the first write of a key was made after the second one. */
    boolean isNewer(PublishedItem first, PublishedItem second) {
        SiteChange one = content(first);
        SiteChange other = content(second);
        if (one instanceof SiteChange.Configured configured
                && other instanceof SiteChange.Configured known) {
            return configured.configuration().version() > known.configuration().version();
        }
        if (one instanceof SiteChange.Registered registered
                && other instanceof SiteChange.Registered known) {
            return isNewer(
                    registered.registration(),
                    first.removed(),
                    known.registration(),
                    second.removed());
        }
        return false;
    }

    private static boolean isNewer(
            Registration one, boolean isOneEnded, Registration other, boolean isOtherEnded) {
        if (!one.target().equals(other.target())) {
            return false;
        }
        if (one.sequence() != other.sequence()) {
            return one.sequence() > other.sequence();
        }
        return isOneEnded && !isOtherEnded;
    }

    /** Returns whether an item is a configuration. */
    boolean isConfiguration(PublishedItem item) {
        return content(item) instanceof SiteChange.Configured;
    }

    /** Returns whether an item is the registration of a target that is leaving. */
    boolean isLeaving(PublishedItem item) {
        return content(item) instanceof SiteChange.Registered registered
                && registered.registration().leaving();
    }

    private SiteChange content(PublishedItem item) {
        if (item.value().length == 0) {
            return new SiteChange.Ignored(item.key());
        }
        return mDecoder.decode(new PublishedItem(item.key(), item.value(), item.revision(), false));
    }
}

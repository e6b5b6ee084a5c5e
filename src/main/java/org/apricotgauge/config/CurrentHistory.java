package org.apricotgauge.config;

import java.util.concurrent.atomic.AtomicReference;
import org.apricotgauge.model.Checks;

/**
 * The history in force in this process: read by many threads, and never going back.
 *
 * <pre>{@code
 * CurrentHistory current = new CurrentHistory(ConfigHistory.EMPTY);
 * current.advance(result.history());
 * Configuration configuration = current.get().configuration();
 * }</pre>
 */
public final class CurrentHistory {
    private final AtomicReference<ConfigHistory> mHistory;

    /** Starts at the history. */
    public CurrentHistory(ConfigHistory history) {
        mHistory = new AtomicReference<>(Checks.notNull("history", history));
    }

    /** Returns the history in force; a request reads it once. */
    public ConfigHistory get() {
        return mHistory.get();
    }

    /**
     * Puts the history in force if it is further than the one in force, and returns whether it was.
     *
     * @throws IllegalStateException if the two can't be of one list: the version would fall, or the
     *     same position or version has another digest. A node that went on would serve what no
     *     other node has in force
     */
    public boolean advance(ConfigHistory next) {
        Checks.notNull("history", next);
        while (true) {
            ConfigHistory current = mHistory.get();
            check(current, next);
            if (next.position() <= current.position()) {
                return false;
            }
            if (mHistory.compareAndSet(current, next)) {
                return true;
            }
        }
    }

    /**
     * Returns whether the history can be of the same list as the one in force.
     *
     * <p>Whoever has a history from another process asks first: a fault there is that process's,
     * and must not stop this one.
     */
    public boolean isConsistentWith(ConfigHistory other) {
        return fault(mHistory.get(), Checks.notNull("history", other)) == null;
    }

    private static void check(ConfigHistory one, ConfigHistory other) {
        String fault = fault(one, other);
        if (fault != null) {
            throw new IllegalStateException(fault);
        }
    }

    private static String fault(ConfigHistory one, ConfigHistory other) {
        ConfigHistory older = one.position() <= other.position() ? one : other;
        ConfigHistory newer = older == one ? other : one;
        if (newer.version() < older.version()) {
            return "version falls from " + older + " to " + newer;
        }
        if (newer.position() == older.position() && !newer.digest().equals(older.digest())) {
            return "one position, two digests: " + older + "; " + newer;
        }
        if (newer.version() == older.version()
                && !newer.versionDigest().equals(older.versionDigest())) {
            return "one version, two digests: " + older + "; " + newer;
        }
        return null;
    }
}

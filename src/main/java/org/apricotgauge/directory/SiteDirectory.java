package org.apricotgauge.directory;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Collections;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import org.apricotgauge.model.Checks;
import org.apricotgauge.model.Target;

/**
 * The site as published items make it: the configuration in force and the targets.
 *
 * <pre>{@code
 * List<String> events = directory.take(changes, nowMillis, LapseDoubt.NONE);
 * directory.expire(nowMillis);
 * }</pre>
 *
 * <p>Versions never fall. A target that says it leaves gets no new work at once. One whose
 * registration ends without a word may have crashed, or have only lost the platform while it serves
 * on; it keeps its place for {@link #VANISHED_MILLIS}, or {@link #DOUBTFUL_MILLIS} after the
 * platform was away, in which time a living target registers anew. Not thread-safe.
 */
public final class SiteDirectory {
    /**
     * How long a target serves on after its registration ended without a word, in milliseconds.
     *
     * <p>The platform lets targets serve for 2 s after that; the rest is for requests on their way.
     */
    public static final long VANISHED_MILLIS = 1_000;

    /**
     * The same after the platform was away, in milliseconds: living targets are registered again
     * within 2 s of its return, and until then all of a service may be missing at once.
     */
    public static final long DOUBTFUL_MILLIS = 2_200;

    /** Whether an ended registration says that its target is gone. */
    public enum LapseDoubt {
        /** The platform has been there all the while. */
        NONE,
        /** Registrations may have run out while the platform was away. */
        PLATFORM_WAS_AWAY
    }

    private final Map<String, Registration> mRegistrations = new TreeMap<>();
    private final Map<String, Long> mVanishedUntilMillis = new HashMap<>();
    private PublishedConfiguration mConfiguration;

    /** Takes in changes; returns whether anything that requests depend on is different. */
    public boolean take(Collection<SiteChange> changes, long nowMillis, LapseDoubt doubt) {
        Checks.notNull("doubt", doubt);
        boolean changed = false;
        for (SiteChange change : changes) {
            changed |= take(change, nowMillis, doubt);
        }
        return changed;
    }

    private boolean take(SiteChange change, long nowMillis, LapseDoubt doubt) {
        if (change instanceof SiteChange.Configured configured) {
            return configure(configured.configuration());
        }
        if (change instanceof SiteChange.Registered registered) {
            Registration registration = registered.registration();
            String id = registration.target().id();
            removePredecessor(registration.target());
            boolean back = mVanishedUntilMillis.remove(id) != null;
            return !registration.equals(mRegistrations.put(id, registration)) || back;
        }
        if (change instanceof SiteChange.Unregistered unregistered) {
            return vanish(unregistered.targetId(), nowMillis, doubt);
        }
        return false;
    }

    // Two targets never share an address. After a loss of power the entry of the run before stays
    // for some seconds, and requests sent to it would only be refused by the new one.
    private void removePredecessor(Target target) {
        mRegistrations
                .values()
                .removeIf(
                        other ->
                                !other.target().id().equals(target.id())
                                        && other.target().host().equals(target.host())
                                        && other.target().port() == target.port());
    }

    private boolean configure(PublishedConfiguration configuration) {
        if (mConfiguration != null && configuration.version() <= mConfiguration.version()) {
            return false;
        }
        mConfiguration = configuration;
        return true;
    }

    private boolean vanish(String targetId, long nowMillis, LapseDoubt doubt) {
        Registration registration = mRegistrations.get(targetId);
        if (registration == null) {
            return false;
        }
        if (registration.leaving()) {
            mRegistrations.remove(targetId);
            return true;
        }
        long keepMillis = doubt == LapseDoubt.NONE ? VANISHED_MILLIS : DOUBTFUL_MILLIS;
        mVanishedUntilMillis.putIfAbsent(targetId, nowMillis + keepMillis);
        return false;
    }

    /** Removes targets that did not register anew in time; returns whether there were any. */
    public boolean expire(long nowMillis) {
        Set<String> due = new HashSet<>();
        mVanishedUntilMillis.forEach(
                (id, untilMillis) -> {
                    if (untilMillis <= nowMillis) {
                        due.add(id);
                    }
                });
        due.forEach(mVanishedUntilMillis::remove);
        return mRegistrations.keySet().removeAll(due);
    }

    /** Returns the configuration in force, or null before the first. */
    public PublishedConfiguration configuration() {
        return mConfiguration;
    }

    /** Returns the targets, leaving ones included, in the order of their names. */
    public List<Registration> registrations() {
        return Collections.unmodifiableList(new ArrayList<>(mRegistrations.values()));
    }
}

package org.apricotgauge.directory;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.Consumer;
import org.apricotgauge.directory.TargetChange.Presence;
import org.apricotgauge.model.Address;
import org.apricotgauge.model.Checks;
import org.apricotgauge.model.Target;

/**
 * The site as published items make it: the configuration in force and the targets.
 *
 * <pre>{@code
 * boolean changed = directory.take(change, nowMillis, keepUntilMillis);
 * changed |= directory.expire(nowMillis);
 * }</pre>
 *
 * <p>Versions never fall. A run that starts under the name of an earlier one takes its place: what
 * was known of that one is not true of it. A target that says it leaves gets no new work at once.
 * One whose registration ends without a word may have crashed, or have only lost the platform while
 * it serves on; it keeps its place until the time that the caller gives, in which a living target
 * registers anew. Not thread-safe.
 */
public final class SiteDirectory {
    /** A registration, and which run registered after which. */
    private record Entry(Registration registration, long order) {
        static Entry newer(Entry one, Entry other) {
            return one.order() > other.order() ? one : other;
        }
    }

    /** Most ended registrations that are remembered; the earliest is forgotten first. */
    private static final int MAX_ENDED = 1_024;

    private final Map<String, Entry> mRegistrations = new TreeMap<>();
    private final Map<String, Registration> mEnded =
            new LinkedHashMap<>() {
                @Override
                protected boolean removeEldestEntry(Map.Entry<String, Registration> eldest) {
                    return size() > MAX_ENDED;
                }
            };
    private long mNextOrder;
    private final Map<String, Long> mRetainedUntilMillis = new HashMap<>();
    private final Consumer<TargetChange> mOnTargetChange;
    private PublishedConfiguration mConfiguration;

    /** Creates a directory of which nobody hears. */
    public SiteDirectory() {
        this(change -> {});
    }

    /** Creates a directory that tells each step in what is believed of a target. */
    SiteDirectory(Consumer<TargetChange> onTarget) {
        mOnTargetChange = Checks.notNull("onTarget", onTarget);
    }

    /**
     * Takes in a change; returns whether anything that requests depend on is different.
     *
     * @param change the change
     * @param nowMillis present time
     * @param keepUntilMillis until when a target keeps its place if its registration has ended
     *     without a word
     */
    public boolean apply(SiteChange change, long nowMillis, long keepUntilMillis) {
        if (change instanceof SiteChange.Configured configured) {
            return configure(configured.configuration());
        }
        if (change instanceof SiteChange.Registered registered) {
            return register(registered.registration());
        }
        if (change instanceof SiteChange.Unregistered unregistered) {
            return unregister(unregistered.name(), nowMillis, keepUntilMillis);
        }
        if (change instanceof SiteChange.InvalidRegistration unusable) {
            return remove(unusable.name());
        }
        return false;
    }

    private boolean remove(String name) {
        Presence before = presenceOf(name);
        mRetainedUntilMillis.remove(name);
        Entry entry = mRegistrations.remove(name);
        if (entry != null) {
            mEnded.remove(name);
            mEnded.put(name, entry.registration());
        }
        reportChange(entry, before, Presence.ABSENT);
        return entry != null;
    }

    private Presence presenceOf(String name) {
        Entry entry = mRegistrations.get(name);
        if (entry == null) {
            return Presence.ABSENT;
        }
        if (mRetainedUntilMillis.containsKey(name)) {
            return Presence.ENDED;
        }
        return entry.registration().leaving() ? Presence.LEAVING : Presence.READY;
    }

    private void reportChange(Entry entry, Presence from, Presence to) {
        if (entry == null || from == to) {
            return;
        }
        Registration known = entry.registration();
        mOnTargetChange.accept(
                new TargetChange(known.name(), known.target().id(), from, to, known.sequence()));
    }

    private boolean register(Registration registration) {
        if (isDelayedWrite(registration)) {
            return false;
        }
        Presence before = presenceOf(registration.name());
        boolean back = mRetainedUntilMillis.remove(registration.name()) != null;
        Entry known = mRegistrations.get(registration.name());
        if (known != null && known.registration().equals(registration)) {
            reportChange(known, before, presenceOf(registration.name()));
            return back;
        }
        boolean sameRun =
                known != null && known.registration().target().equals(registration.target());
        long order = sameRun ? known.order() : mNextOrder++;
        Entry entry = new Entry(registration, order);
        mRegistrations.put(registration.name(), entry);
        reportChange(entry, before, presenceOf(registration.name()));
        return true;
    }

    // A write that was delayed on its way would undo that the target leaves or has left.
    private boolean isDelayedWrite(Registration registration) {
        Entry entry = mRegistrations.get(registration.name());
        if (entry == null) {
            return isOlder(registration, mEnded.get(registration.name()));
        }
        boolean isGoing =
                entry.registration().leaving()
                        || mRetainedUntilMillis.containsKey(registration.name());
        return isGoing && isOlder(registration, entry.registration());
    }

    private static boolean isOlder(Registration registration, Registration known) {
        return known != null
                && known.target().equals(registration.target())
                && registration.sequence() < known.sequence();
    }

    private boolean configure(PublishedConfiguration configuration) {
        if (mConfiguration != null && configuration.version() <= mConfiguration.version()) {
            return false;
        }
        mConfiguration = configuration;
        return true;
    }

    private boolean unregister(String name, long nowMillis, long keepUntilMillis) {
        Entry entry = mRegistrations.get(name);
        if (entry == null) {
            return false;
        }
        if (entry.registration().leaving() || keepUntilMillis <= nowMillis) {
            return remove(name);
        }
        Presence before = presenceOf(name);
        mRetainedUntilMillis.putIfAbsent(name, keepUntilMillis);
        reportChange(entry, before, Presence.ENDED);
        return false;
    }

    /** Removes targets that did not register anew in time; returns whether there were any. */
    public boolean expire(long nowMillis) {
        Set<String> due = new HashSet<>();
        mRetainedUntilMillis.forEach(
                (name, untilMillis) -> {
                    if (untilMillis <= nowMillis) {
                        due.add(name);
                    }
                });
        due.forEach(this::remove);
        return !due.isEmpty();
    }

    /** Returns the configuration in force, or null before the first. */
    public PublishedConfiguration configuration() {
        return mConfiguration;
    }

    /**
     * Returns the targets of services that the configuration names, leaving ones included, in the
     * order of their registered names; none before the first configuration.
     *
     * <p>Two targets never share an address. After a loss of power the entry of the run before
     * stays for some seconds, and requests sent to it would only be refused by the new one; so the
     * newest at an address is the only one. An entry of a service that nobody named takes no
     * address from a target that serves.
     */
    public List<Registration> registrations() {
        if (mConfiguration == null) {
            return List.of();
        }
        Set<String> services = Set.copyOf(mConfiguration.services());
        Map<Address, Entry> newest = new HashMap<>();
        for (Entry entry : mRegistrations.values()) {
            Target target = entry.registration().target();
            if (services.contains(target.service())) {
                newest.merge(new Address(target.host(), target.port()), entry, Entry::newer);
            }
        }
        List<Registration> registrations = new ArrayList<>(newest.size());
        for (Entry entry : mRegistrations.values()) {
            Target target = entry.registration().target();
            if (newest.get(new Address(target.host(), target.port())) == entry) {
                registrations.add(entry.registration());
            }
        }
        return registrations;
    }
}

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
 * The configuration in force and the targets of a site, as given by the published items.
 *
 * <pre>{@code
 * boolean changed = directory.apply(change, nowMillis, retainUntilMillis);
 * changed |= directory.expire(nowMillis);
 * }</pre>
 *
 * <p>Versions never decrease. A process of a target that registers under the name of an earlier one
 * replaces it, and inherits none of its state. A target that announces that it is leaving receives
 * no new work from then on. One whose registration ends without a leaving notice may have crashed,
 * or may still serve and be disconnected only from the platform; it is retained until a time given
 * by the caller, within which a live target registers again. An older write that comes after the
 * end counts only if the registration outlasts the heartbeats that a target which has ended no
 * longer sends. Not thread-safe.
 */
public final class SiteDirectory {
    /** A registration, with the order in which the target's process first registered. */
    private record Entry(Registration registration, long order) {
        static Entry newer(Entry one, Entry other) {
            return one.order() > other.order() ? one : other;
        }
    }

    /** A write that is older than the known end of its registration. */
    private record DelayedWrite(Registration registration, long countsAtMillis) {}

    /** Maximum number of ended registrations kept; the earliest is evicted first. */
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
    private final Map<String, DelayedWrite> mDelayedWrites = new HashMap<>();
    private final long mMaxEndedRegistrationMillis;
    private final Consumer<TargetChange> mOnTargetChange;
    private PublishedConfiguration mConfiguration;

    /** Creates a directory without a listener. */
    public SiteDirectory(PlatformTimes times) {
        this(times, change -> {});
    }

    /** Creates a directory that reports each change of a target's state. */
    SiteDirectory(PlatformTimes times, Consumer<TargetChange> onTargetChange) {
        mMaxEndedRegistrationMillis = Checks.notNull("times", times).maxEndedRegistrationMillis();
        mOnTargetChange = Checks.notNull("onTargetChange", onTargetChange);
    }

    /**
     * Applies a change; returns whether anything that requests depend on changed.
     *
     * @param change the change
     * @param nowMillis present time
     * @param retainUntilMillis until when a target is retained if its registration has ended
     *     without a leaving notice
     */
    public boolean apply(SiteChange change, long nowMillis, long retainUntilMillis) {
        if (change instanceof SiteChange.Configured configured) {
            return configure(configured.configuration());
        }
        if (change instanceof SiteChange.Registered registered) {
            return register(registered.registration(), nowMillis);
        }
        if (change instanceof SiteChange.Unregistered unregistered) {
            return unregister(unregistered.name(), nowMillis, retainUntilMillis);
        }
        if (change instanceof SiteChange.InvalidRegistration invalid) {
            mDelayedWrites.remove(invalid.name());
            return remove(invalid.name());
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

    private boolean register(Registration registration, long nowMillis) {
        mDelayedWrites.remove(registration.name());
        if (isDelayedWrite(registration)) {
            retainDelayedWrite(registration, nowMillis);
            return false;
        }
        Presence before = presenceOf(registration.name());
        boolean wasRetained = mRetainedUntilMillis.remove(registration.name()) != null;
        Entry known = mRegistrations.get(registration.name());
        if (known != null && known.registration().equals(registration)) {
            reportChange(known, before, presenceOf(registration.name()));
            return wasRetained;
        }
        boolean isSameProcess =
                known != null && known.registration().target().equals(registration.target());
        long order = isSameProcess ? known.order() : mNextOrder++;
        Entry entry = new Entry(registration, order);
        mRegistrations.put(registration.name(), entry);
        reportChange(entry, before, presenceOf(registration.name()));
        return wasRetained
                || !isSameProcess
                || known.registration().leaving() != registration.leaving();
    }

    // A delayed older write must not undo that the target is leaving or has left.
    private boolean isDelayedWrite(Registration registration) {
        Entry entry = mRegistrations.get(registration.name());
        if (entry == null) {
            return isOlder(registration, mEnded.get(registration.name()));
        }
        boolean isEnding =
                entry.registration().leaving()
                        || mRetainedUntilMillis.containsKey(registration.name());
        return isEnding && isOlder(registration, entry.registration());
    }

    private void retainDelayedWrite(Registration registration, long nowMillis) {
        Entry entry = mRegistrations.get(registration.name());
        Registration known = entry == null ? mEnded.get(registration.name()) : entry.registration();
        if (!known.leaving()) {
            mDelayedWrites.put(
                    registration.name(),
                    new DelayedWrite(registration, nowMillis + mMaxEndedRegistrationMillis));
        }
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

    private boolean unregister(String name, long nowMillis, long retainUntilMillis) {
        mDelayedWrites.remove(name);
        Entry entry = mRegistrations.get(name);
        if (entry == null) {
            return false;
        }
        if (entry.registration().leaving() || retainUntilMillis <= nowMillis) {
            return remove(name);
        }
        Presence before = presenceOf(name);
        mRetainedUntilMillis.putIfAbsent(name, retainUntilMillis);
        reportChange(entry, before, Presence.ENDED);
        return false;
    }

    /** Returns whether a later version, or a later write of the same process, is known. */
    boolean isSuperseded(SiteChange change) {
        if (change instanceof SiteChange.Configured configured) {
            return mConfiguration != null
                    && configured.configuration().version() < mConfiguration.version();
        }
        if (change instanceof SiteChange.Registered registered) {
            Entry entry = mRegistrations.get(registered.registration().name());
            return entry != null && isOlder(registered.registration(), entry.registration());
        }
        return false;
    }

    /** Returns whether a target is registered under a name, or was and is retained. */
    boolean isRegistered(String name) {
        return mRegistrations.containsKey(name);
    }

    /** Returns whether a target announced that it is leaving and is still registered. */
    boolean isLeaving(String name) {
        Entry entry = mRegistrations.get(name);
        return entry != null && entry.registration().leaving();
    }

    /** Returns whether a target is retained although its registration has ended. */
    boolean isRetained(String name) {
        return mRetainedUntilMillis.containsKey(name);
    }

    /** Forgets that a registration has ended, so that an older write of it counts again. */
    void forgetEnd(String name) {
        mEnded.remove(name);
    }

    /**
     * Removes targets that did not register again in time, and takes up delayed writes whose
     * registrations were not ended again; returns whether there were any.
     */
    public boolean expire(long nowMillis) {
        if (mRetainedUntilMillis.isEmpty() && mDelayedWrites.isEmpty()) {
            return false;
        }
        Set<String> due = new HashSet<>();
        mRetainedUntilMillis.forEach(
                (name, untilMillis) -> {
                    if (untilMillis <= nowMillis) {
                        due.add(name);
                    }
                });
        due.forEach(this::remove);
        return registerDelayed(nowMillis) || !due.isEmpty();
    }

    private boolean registerDelayed(long nowMillis) {
        List<DelayedWrite> due =
                mDelayedWrites.values().stream()
                        .filter(write -> write.countsAtMillis() <= nowMillis)
                        .toList();
        for (DelayedWrite write : due) {
            mEnded.remove(write.registration().name());
            register(write.registration(), nowMillis);
        }
        return !due.isEmpty();
    }

    /** Returns the configuration in force; null before the first. */
    public PublishedConfiguration configuration() {
        return mConfiguration;
    }

    /**
     * Returns the targets of configured services, including leaving ones, in the order of their
     * registration names; none before the first configuration.
     *
     * <p>Only the newest target at an address is returned. After a power loss the registration of
     * the earlier process remains for some seconds, and requests for it would only be refused by
     * the new process. A registration for an unknown service does not replace a serving target at
     * its address.
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

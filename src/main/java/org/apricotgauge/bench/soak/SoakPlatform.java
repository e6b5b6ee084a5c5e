package org.apricotgauge.bench.soak;

import java.io.IOException;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.apricotgauge.model.Checks;
import org.apricotgauge.platform.kv.KvStandin;
import org.apricotgauge.platform.kv.SiteRoute;

/** The store's part of a soak: versions of the configuration, and the targets' entries. */
final class SoakPlatform implements AutoCloseable {
    private static final int TARGET_SLOTS = 16;

    private final KvStandin mStore;
    private final List<Target> mTargets;
    private final List<SiteRoute> mRoutes;
    private final Set<Integer> mLeaving = new HashSet<>();
    private long mVersion;
    private long mHeartbeats;

    /** A target as its entry tells it. */
    record Target(String service, String address, String domain) {}

    SoakPlatform(KvStandin store, List<SiteRoute> routes, List<Target> targets) {
        mStore = Checks.notNull("store", store);
        mRoutes = new ArrayList<>(routes);
        mTargets = List.copyOf(targets);
    }

    int port() {
        return mStore.port();
    }

    /** Publishes the next version; each but the first has one route more than that before it. */
    synchronized void configure() {
        mVersion++;
        if (mVersion > 1) {
            SiteRoute any = mRoutes.get(0);
            mRoutes.add(
                    new SiteRoute(
                            "/added-" + mVersion + '/',
                            any.service(),
                            any.isIdempotent(),
                            any.timeoutMillis()));
        }
        mStore.publishRoutes(mVersion, mRoutes);
    }

    /** Marks a target as leaving, or as ready again. */
    synchronized void setLeaving(int number, boolean isLeaving) {
        if (isLeaving) {
            mLeaving.add(number);
        } else {
            mLeaving.remove(number);
        }
        mHeartbeats++;
        write(number);
    }

    /** Writes the entries of all targets. */
    synchronized void writeHeartbeats() {
        mHeartbeats++;
        for (int number = 0; number < mTargets.size(); number++) {
            write(number);
        }
    }

    private void write(int number) {
        Target target = mTargets.get(number);
        mStore.register(
                "i-" + number,
                target.service(),
                target.address(),
                target.domain(),
                TARGET_SLOTS,
                mLeaving.contains(number) ? KvStandin.LEAVING : KvStandin.READY,
                mHeartbeats);
    }

    @Override
    public void close() throws IOException {
        mStore.close();
    }
}

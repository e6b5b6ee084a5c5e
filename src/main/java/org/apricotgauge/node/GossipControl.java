package org.apricotgauge.node;

import java.io.IOException;
import java.net.URI;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.apricotgauge.config.ConfigHistory;
import org.apricotgauge.control.ConfigHistoryFold;
import org.apricotgauge.control.ControlListener;
import org.apricotgauge.control.ControlPlane;
import org.apricotgauge.control.ControlSettings;
import org.apricotgauge.decision.gossip.GossipItem;
import org.apricotgauge.decision.gossip.LeavingNotice;
import org.apricotgauge.decision.gossip.VmView;
import org.apricotgauge.event.HlcTimestamp;
import org.apricotgauge.event.VmLeaving;
import org.apricotgauge.model.Address;
import org.apricotgauge.model.ChangesRequest;
import org.apricotgauge.model.SiteView;
import org.apricotgauge.platform.HttpPlatformClient;
import org.apricotgauge.platform.PlatformClient;
import org.eclipse.jetty.http.HttpFields;

/** The control plane of a fleet whose platform publishes patches in an ordered list. */
final class GossipControl implements NodeControl {
    private static final String SITE = "site";
    private static final byte[] EMPTY_PAGE = {};

    private final Dependencies mDependencies;
    private final ControlEventRecorder mRecorder;
    private final PlatformClient mPlatform;
    private final ControlPlane<ConfigHistory> mPlane;

    private GossipControl(Dependencies dependencies, URI platform, List<Address> seeds)
            throws IOException {
        mDependencies = dependencies;
        mRecorder = new ControlEventRecorder(dependencies.events());
        mPlatform = HttpPlatformClient.open(platform);
        mPlane =
                ControlPlane.start(
                        ControlSettings.of(SITE, dependencies.vm()).withSeeds(seeds),
                        new ConfigHistoryFold(mRecorder::recordRefusal),
                        mPlatform,
                        new FleetListener(),
                        dependencies.metrics());
        // Nodes of earlier releases know no other notice of a stop.
        dependencies.stop().begun().thenRun(mPlane::announceLeaving);
    }

    /** Returns a factory for the control of a node that reads the platform's list of patches. */
    static Factory factory(URI platform, List<Address> seeds) {
        return dependencies -> new GossipControl(dependencies, platform, seeds);
    }

    @Override
    public CompletableFuture<Void> ready() {
        return mPlane.ready();
    }

    @Override
    public boolean mayAct() {
        return mPlane.mayAct();
    }

    @Override
    public void publishEvidence(String key, long sequence, long lifetimeMillis, byte[] payload) {
        mPlane.publishEvidence(key, sequence, lifetimeMillis, payload);
    }

    @Override
    public void tick() {
        mRecorder.recordRole(mPlane.watcherRole());
    }

    @Override
    public int peerPort() {
        return mPlane.vm().peerPort();
    }

    @Override
    public Mark mark() {
        return markOf(mPlane.currentHistory());
    }

    private static Mark markOf(ConfigHistory history) {
        String digest = history.version() == 0 ? "" : history.versionDigest().toString();
        return new Mark(digest, history.digest().toString(), history.position());
    }

    @Override
    public boolean isSiteViewFresh() {
        return true;
    }

    @Override
    public SiteView siteView() {
        return SiteView.NONE;
    }

    @Override
    public long addHopHeaders(HttpFields.Mutable headers) {
        return 0;
    }

    @Override
    public void handleHopHeaders(HttpFields headers) {}

    @Override
    public void addAcknowledgementHeaders(HttpFields.Mutable headers) {}

    @Override
    public void handleAcknowledgement(HttpFields headers, long requestedAtMillis) {}

    @Override
    public CompletableFuture<byte[]> changesFor(ChangesRequest request) {
        return CompletableFuture.completedFuture(EMPTY_PAGE);
    }

    @Override
    public void close() {
        NodeHttp.stop(mPlane::close);
        NodeHttp.stop(mPlatform::close);
    }

    /** Passes updates of the fleet and the platform to the node. */
    private final class FleetListener implements ControlListener<ConfigHistory> {
        @Override
        public void onHistory(ConfigHistory history) {
            mDependencies
                    .listener()
                    .onConfiguration(history.version(), history.configuration(), markOf(history));
        }

        @Override
        public void onView(VmView view) {
            mRecorder.recordView(view);
            mDependencies.listener().onMembers(SiteMembers.of(view, mDependencies.vm().id()));
        }

        @Override
        public void onLeaving(LeavingNotice notice) {
            if (notice.wholeVm()) {
                mDependencies.events().record(new VmLeaving(notice.vm(), "peer"));
            }
        }

        @Override
        public void onEvidence(GossipItem evidence) {
            mDependencies
                    .listener()
                    .onEvidence(evidence.node(), evidence.key(), evidence.payload());
        }

        @Override
        public Optional<HlcTimestamp> clockReading() {
            return Optional.of(mDependencies.events().now());
        }

        @Override
        public void onClockReading(HlcTimestamp reading) {
            mDependencies.events().observe(reading);
        }

        @Override
        public void onFatalError(RuntimeException failure) {
            mDependencies.listener().onFatalError(failure);
        }
    }
}

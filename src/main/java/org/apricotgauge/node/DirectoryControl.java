package org.apricotgauge.node;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.Function;
import org.apricotgauge.directory.DirectoryFeed;
import org.apricotgauge.directory.FeedParts;
import org.apricotgauge.directory.PageCodec;
import org.apricotgauge.directory.PlatformTimes;
import org.apricotgauge.directory.PublishedConfiguration;
import org.apricotgauge.directory.PublishedSource;
import org.apricotgauge.directory.ReaderTree;
import org.apricotgauge.directory.Registration;
import org.apricotgauge.directory.SiteDecoder;
import org.apricotgauge.directory.SiteDirectory;
import org.apricotgauge.event.TargetLeaving;
import org.apricotgauge.http.HeaderNames;
import org.apricotgauge.http.client.UpstreamClient;
import org.apricotgauge.model.Address;
import org.apricotgauge.model.ChangesRequest;
import org.apricotgauge.model.Configuration;
import org.apricotgauge.model.Member;
import org.apricotgauge.model.Route;
import org.apricotgauge.model.SiteView;
import org.apricotgauge.model.StorePosition;
import org.apricotgauge.model.Target;
import org.eclipse.jetty.http.HttpFields;

/**
 * The control of a fleet whose platform publishes the full configuration and where targets register
 * themselves.
 *
 * <p>Guards have the same port on every VM, so a target's registration also yields the address of
 * its guard. There is no gossip: the revision on each hop shows which node lags, see {@link
 * DirectoryFeed}.
 */
final class DirectoryControl implements NodeControl {
    private static final char SEPARATOR = ';';
    private static final String UNREADABLE_HINTS = "directory.unreadable_hints";
    private static final String STORE_RESTORES = "directory.store_restores";
    private static final String LOST_WRITES = "directory.lost_writes";

    /**
     * Minimum interval between two acknowledgements that carry the view's age, in milliseconds; the
     * age on each of hundreds of acknowledgements a second would cost more than it saves.
     */
    static final long AGE_REPORT_INTERVAL_MILLIS = 10;

    private final Dependencies mDependencies;
    private final SiteDefaults mDefaults;
    private final DirectoryFeed mFeed;
    private final PageCodec mCodec = new PageCodec();
    private final long mMaxAgeMillis;
    private final AtomicLong mAgeReportedAtMillis = new AtomicLong(Long.MIN_VALUE / 2);
    private Configuration mConfiguration = Configuration.EMPTY;
    private List<Route> mRoutes = List.of();
    private List<Member> mMembers = List.of();
    private Set<String> mLeaving = Set.of();
    private volatile String mVersion = "";

    private DirectoryControl(
            Dependencies dependencies,
            PublishedSource platform,
            SiteDecoder decoder,
            SiteDefaults defaults,
            PlatformTimes times) {
        mDependencies = dependencies;
        mDefaults = defaults;
        mMaxAgeMillis = times.maxViewAgeMillis();
        mFeed =
                new DirectoryFeed(
                        new FeedParts(
                                platform,
                                peer -> new PeerSource(dependencies.queryClient(), mCodec, peer),
                                decoder,
                                dependencies.worker(),
                                dependencies.ticker(),
                                System::currentTimeMillis,
                                ThreadLocalRandom.current(),
                                times),
                        this::onSiteChanged);
        dependencies.metrics().gauge(STORE_RESTORES, () -> mFeed.reports()::restoreCount);
        dependencies.metrics().gauge(LOST_WRITES, () -> mFeed.reports()::lostWriteCount);
        mFeed.start();
    }

    /** Returns a factory for the control of a node that reads published keys. */
    static Factory factory(
            Function<UpstreamClient, PublishedSource> platform,
            SiteDecoder decoder,
            SiteDefaults defaults,
            PlatformTimes times) {
        return dependencies ->
                new DirectoryControl(
                        dependencies,
                        platform.apply(dependencies.queryClient()),
                        decoder,
                        defaults,
                        times);
    }

    private void onSiteChanged(SiteDirectory directory) {
        PublishedConfiguration published = directory.configuration();
        if (published == null) {
            return;
        }
        updateRoutes(published);
        updateMembers(published.members());
        mConfiguration = mConfiguration.withKeysRequired(published.requiresKeys());
        Set<String> leaving = updateTargets(directory.registrations());
        mVersion = "r" + published.version();
        // Members first: a new target whose guard is not known yet would be skipped, and a node
        // that has just started would refuse requests that it can serve.
        List<Address> guards = guards();
        mDependencies.listener().onMembers(new RegisteredMembers(leaving, peers(), isListed()));
        mDependencies.listener().onConfiguration(published.version(), mConfiguration, mark());
        mFeed.setNodes(readerTree(), guards);
        // Queued after the tasks that change the table, so that the event is recorded only once
        // requests follow the change.
        Set<String> before = mLeaving;
        mLeaving = leaving;
        mDependencies.worker().execute(() -> recordLeaving(before, leaving));
    }

    private void recordLeaving(Set<String> before, Set<String> leaving) {
        for (String id : leaving) {
            Target target = before.contains(id) ? null : mConfiguration.target(id);
            if (target != null) {
                mDependencies.events().record(new TargetLeaving(target.service(), id, "platform"));
            }
        }
    }

    private void updateRoutes(PublishedConfiguration published) {
        for (String service : published.services()) {
            if (mConfiguration.service(service) == null) {
                mConfiguration = mConfiguration.withService(mDefaults.service(service));
            }
        }
        if (published.routes().equals(mRoutes)) {
            return;
        }
        mRoutes = published.routes();
        Map<String, Route> wanted = new HashMap<>();
        mRoutes.forEach(route -> wanted.put(route.id(), route));
        for (Route route : new ArrayList<>(mConfiguration.routes())) {
            if (!wanted.containsKey(route.id())) {
                mConfiguration = mConfiguration.withoutRoute(route.id());
            }
        }
        for (Route route : mRoutes) {
            if (!route.equals(mConfiguration.route(route.id()))) {
                mConfiguration = mConfiguration.withRoute(route);
            }
        }
    }

    private void updateMembers(List<Member> wanted) {
        if (wanted.equals(mMembers)) {
            return;
        }
        mMembers = wanted;
        Set<String> present = new HashSet<>();
        wanted.forEach(member -> present.add(member.id()));
        for (Member known : new ArrayList<>(mConfiguration.members())) {
            if (!present.contains(known.id())) {
                mConfiguration = mConfiguration.withoutMember(known.id());
            }
        }
        for (Member member : wanted) {
            if (!member.equals(mConfiguration.member(member.id()))) {
                mConfiguration = mConfiguration.withMember(member);
            }
        }
    }

    private Set<String> updateTargets(List<Registration> registrations) {
        Set<String> present = new HashSet<>();
        Set<String> leaving = new HashSet<>();
        for (Registration registration : registrations) {
            Target target = registration.target();
            present.add(target.id());
            if (registration.leaving()) {
                leaving.add(target.id());
            }
            if (!target.equals(mConfiguration.target(target.id()))) {
                mConfiguration = mConfiguration.withTarget(target);
            }
        }
        for (Target known : new ArrayList<>(mConfiguration.targets())) {
            if (!present.contains(known.id())) {
                mConfiguration = mConfiguration.withoutTarget(known.id());
            }
        }
        return Set.copyOf(leaving);
    }

    private List<Address> guards() {
        return mConfiguration.targets().stream()
                .map(target -> new Address(target.host(), mDependencies.vm().guardPort()))
                .filter(guard -> !guard.host().equals(mDependencies.vm().host()))
                .distinct()
                .toList();
    }

    private List<SiteMembers.Peer> peers() {
        return mConfiguration.targets().stream()
                .filter(target -> !target.host().equals(mDependencies.vm().host()))
                .map(
                        target ->
                                new SiteMembers.Peer(
                                        new Address(
                                                target.host(), mDependencies.crashMessagePort()),
                                        target.failureDomain()))
                .distinct()
                .toList();
    }

    private boolean isListed() {
        return mConfiguration.targets().stream()
                .anyMatch(target -> target.host().equals(mDependencies.vm().host()));
    }

    private ReaderTree readerTree() {
        Set<ReaderTree.Node> nodes = new HashSet<>();
        for (Target target : mConfiguration.targets()) {
            Address guard = new Address(target.host(), mDependencies.vm().guardPort());
            nodes.add(new ReaderTree.Node(guard, target.failureDomain()));
        }
        Address self = new Address(mDependencies.vm().host(), mDependencies.vm().guardPort());
        return new ReaderTree(new ReaderTree.Node(self, mDependencies.vm().failureDomain()), nodes);
    }

    @Override
    public CompletableFuture<Void> ready() {
        return mFeed.ready();
    }

    @Override
    public boolean mayAct() {
        return mFeed.mayAct();
    }

    @Override
    public boolean isSiteViewFresh() {
        return mFeed.isCurrent();
    }

    @Override
    public SiteView siteView() {
        return mFeed.reports().view();
    }

    /** Does nothing: evidence is sent on responses only. */
    @Override
    public void publishEvidence(String key, long sequence, long lifetimeMillis, byte[] payload) {}

    @Override
    public void tick() {
        mFeed.tick();
    }

    @Override
    public int peerPort() {
        return 0;
    }

    @Override
    public Mark mark() {
        return new Mark(mVersion, mVersion, mFeed.reports().newestPosition().revision());
    }

    @Override
    public long addHopHeaders(HttpFields.Mutable headers) {
        Address guard = new Address(mDependencies.vm().host(), mDependencies.vm().guardPort());
        StorePosition position = mFeed.reports().newestPosition();
        headers.put(HeaderNames.DIRECTORY, position.revision() + String.valueOf(SEPARATOR) + guard);
        addEra(headers, position);
        long digest = mFeed.reports().lostWritesDigest();
        if (digest != 0) {
            headers.put(HeaderNames.LOST_WRITES, Long.toHexString(digest));
        }
        return mFeed.reports().elapsedMillis();
    }

    private static void addEra(HttpFields.Mutable headers, StorePosition position) {
        if (position.hasEra()) {
            headers.put(HeaderNames.DIRECTORY_ERA, position.era());
        }
    }

    private static StorePosition position(HttpFields headers, long revision) {
        long era = headers.getLongField(HeaderNames.DIRECTORY_ERA);
        return new StorePosition(Math.max(StorePosition.UNKNOWN_ERA, era), revision);
    }

    @Override
    public void addAcknowledgementHeaders(HttpFields.Mutable headers) {
        SiteView view = mFeed.reports().reportedView();
        if (shouldReportAge(view)) {
            headers.put(
                    HeaderNames.SITE_VIEW,
                    view.position().revision() + String.valueOf(SEPARATOR) + view.ageMillis());
            addEra(headers, view.position());
        }
    }

    // A view older than the maximum age cannot confirm another node's view, and after a pause of
    // the process the computed age would be too low.
    private boolean shouldReportAge(SiteView view) {
        long nowMillis = mDependencies.ticker().millis();
        long reportedAtMillis = mAgeReportedAtMillis.get();
        return view.ageMillis() < mMaxAgeMillis
                && mFeed.mayAct()
                && nowMillis - reportedAtMillis >= AGE_REPORT_INTERVAL_MILLIS
                && mAgeReportedAtMillis.compareAndSet(reportedAtMillis, nowMillis);
    }

    @Override
    public void handleHopHeaders(HttpFields headers) {
        String text = headers.get(HeaderNames.DIRECTORY);
        int separator = text == null ? -1 : text.indexOf(SEPARATOR);
        int colon = text == null ? -1 : text.lastIndexOf(':');
        if (separator < 0 || colon < separator) {
            return;
        }
        try {
            long revision = Long.parseLong(text, 0, separator, 10);
            int port = Integer.parseInt(text, colon + 1, text.length(), 10);
            Address guard = new Address(text.substring(separator + 1, colon), port);
            mFeed.reports().hint(position(headers, revision), guard);
            String digest = headers.get(HeaderNames.LOST_WRITES);
            if (digest != null) {
                mFeed.reports().hintLostWrites(Long.parseUnsignedLong(digest, 16), guard);
            }
        } catch (IllegalArgumentException e) {
            mDependencies.metrics().counter(UNREADABLE_HINTS).inc();
        }
    }

    @Override
    public void handleAcknowledgement(HttpFields headers, long requestedAtMillis) {
        String text = headers.get(HeaderNames.SITE_VIEW);
        int separator = text == null ? -1 : text.indexOf(SEPARATOR);
        if (separator < 0) {
            return;
        }
        try {
            long revision = Long.parseLong(text, 0, separator, 10);
            long ageMillis = Long.parseLong(text, separator + 1, text.length(), 10);
            mFeed.reports()
                    .recordPeerView(
                            new SiteView(position(headers, revision), ageMillis),
                            requestedAtMillis);
        } catch (IllegalArgumentException e) {
            mDependencies.metrics().counter(UNREADABLE_HINTS).inc();
        }
    }

    @Override
    public CompletableFuture<byte[]> changesFor(ChangesRequest request) {
        return mFeed.changesForNode(request)
                .thenApply(page -> mCodec.encode(page, request.compressed()));
    }

    @Override
    public void close() {
        mFeed.close();
    }

    /** The members as derived from the targets' registrations. */
    private final class RegisteredMembers implements SiteMembers {
        private final Set<String> mLeavingIds;
        private final List<Peer> mPeers;
        private final boolean mIsListed;

        private RegisteredMembers(Set<String> leavingIds, List<Peer> peers, boolean isListed) {
            mLeavingIds = leavingIds;
            mPeers = peers;
            mIsListed = isListed;
        }

        @Override
        public Address guardOf(Target target) {
            return new Address(target.host(), mDependencies.vm().guardPort());
        }

        @Override
        public boolean isLeaving(Target target) {
            return mLeavingIds.contains(target.id());
        }

        @Override
        public int nodeCount() {
            return mPeers.size() + 1;
        }

        @Override
        public List<Peer> peers() {
            return mPeers;
        }

        @Override
        public boolean isListed() {
            return mIsListed;
        }
    }
}

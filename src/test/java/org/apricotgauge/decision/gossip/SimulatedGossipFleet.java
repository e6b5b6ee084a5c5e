package org.apricotgauge.decision.gossip;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.EnumMap;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Set;
import java.util.SplittableRandom;
import org.apricotgauge.bench.ChainFold;
import org.apricotgauge.model.Address;
import org.apricotgauge.model.Vm;
import org.apricotgauge.model.VmStatus;
import org.apricotgauge.platform.LogPage;
import org.apricotgauge.platform.LogRecord;
import org.apricotgauge.platform.VmPage;

/**
 * A simulated fleet with its own network and clock: loss, delay, duplication, one-way partitions,
 * unresponsive connections, pauses and restarts, all reproducible from one seed.
 *
 * <p>The oracle is the list of published bodies: after every event, each node's digest must match
 * the list up to its position, and the position must not decrease within one run of a node.
 */
final class SimulatedGossipFleet {
    private static final long TICK_MILLIS = 100;
    private static final int FIRST_PORT = 1_000;
    private static final ChainFold FOLD = new ChainFold();

    private record Event(long atMillis, long order, Runnable action) {}

    /** One connection; either end may be closed. */
    private static final class Connection {
        final Node mDialler;
        final long mDiallerLink;
        Node mAcceptor;
        long mAcceptorLink;
        boolean mDropsMessages;

        Connection(Node dialler, long dialled) {
            mDialler = dialler;
            mDiallerLink = dialled;
        }
    }

    /** One node across its restarts. */
    final class Node implements PeerTransport<ChainFold.Chain>, GossipListener<ChainFold.Chain> {
        final Vm mVm;
        final Map<GossipEvent, Integer> mEvents = new EnumMap<>(GossipEvent.class);
        final List<LeavingNotice> mNotices = new ArrayList<>();
        final Map<Long, Connection> mConnections = new HashMap<>();
        GossipNode<ChainFold.Chain> mGossip;
        boolean mPaused;
        private final List<Runnable> mDeferred = new ArrayList<>();
        private long mIncarnation;
        private long mNextAccepted = -1;
        private long mHighestPosition;

        Node(Vm vm) {
            mVm = vm;
        }

        void start() {
            mIncarnation++;
            mHighestPosition = 0;
            List<Address> seeds =
                    List.of(
                            new Address("10.0.0.1", FIRST_PORT),
                            new Address("10.0.0.1", FIRST_PORT + 1));
            mGossip =
                    new GossipNode<>(
                            new NodeIdentity("site", mVm, mIncarnation, seeds),
                            mSettings,
                            FOLD,
                            this,
                            this,
                            mRandom.nextLong(),
                            mNowMillis);
            scheduleTick(mIncarnation);
        }

        /** Stops the run; if {@code silently}, its peers are not notified that links closed. */
        void stop(boolean silently) {
            mIncarnation++;
            mGossip = null;
            mDeferred.clear();
            for (Connection connection : List.copyOf(mConnections.values())) {
                if (silently) {
                    connection.mDropsMessages = true;
                } else {
                    closeOtherEnd(connection, this);
                }
            }
            mConnections.clear();
        }

        void pause() {
            mPaused = true;
        }

        void resume() {
            mPaused = false;
            List.copyOf(mDeferred).forEach(Runnable::run);
            mDeferred.clear();
        }

        int count(GossipEvent event) {
            return mEvents.getOrDefault(event, 0);
        }

        boolean isRunning() {
            return mGossip != null;
        }

        /** Applies the platform's log up to a head, as a watcher does. */
        boolean readLog(long visibleHead) {
            long from = mGossip.position() + 1;
            List<LogRecord> page = new ArrayList<>();
            for (long p = from; p <= visibleHead; p++) {
                page.add(new LogRecord(p, mLog.get((int) (p - 1))));
            }
            boolean isCurrent = mGossip.onPublished(new LogPage(visibleHead, page));
            check();
            return isCurrent;
        }

        void readVms() {
            List<VmStatus> vms = new ArrayList<>();
            mNodes.forEach(node -> vms.add(new VmStatus(node.mVm, VmStatus.State.LIVE)));
            mGossip.onPublishedVms(0, new VmPage(1, vms, List.of(), false), mNowMillis);
        }

        @Override
        public void dial(long link, Address address) {
            Connection connection = new Connection(this, link);
            mConnections.put(link, connection);
            Node target = mByPort.get(address.port());
            schedule(delay(), () -> connect(connection, target));
        }

        @Override
        public void send(long link, PeerMessage message) {
            Connection connection = mConnections.get(link);
            if (connection == null || connection.mAcceptor == null) {
                return;
            }
            Node to = connection.mDialler == this ? connection.mAcceptor : connection.mDialler;
            int copies = isLost(message) ? 0 : isDuplicated(message) ? 2 : 1;
            for (int i = 0; i < copies; i++) {
                long delayMillis = mReorder && !isHandshake(message) ? delay() : 1;
                schedule(delayMillis, () -> deliver(connection, this, to, message));
            }
        }

        @Override
        public void close(long link) {
            Connection connection = mConnections.remove(link);
            if (connection != null) {
                closeOtherEnd(connection, this);
            }
        }

        @Override
        public void encodeSnapshot(ChainFold.Chain history) {
            List<byte[]> chunks = FOLD.encode(history);
            run(this, () -> mGossip.onSnapshotEncoded(chunks, mNowMillis));
        }

        @Override
        public void decodeSnapshot(List<byte[]> chunks) {
            run(this, () -> mGossip.onSnapshotDecoded(FOLD.decode(chunks)));
        }

        @Override
        public void onHistory(ChainFold.Chain history) {
            check();
        }

        @Override
        public void onView(VmView view) {}

        @Override
        public void onLeaving(LeavingNotice notice) {
            mNotices.add(notice);
        }

        @Override
        public void onEvidence(GossipItem item) {}

        @Override
        public void onEvent(GossipEvent event) {
            mEvents.merge(event, 1, Integer::sum);
        }

        private void check() {
            ChainFold.Chain history = mGossip.history();
            if (history.position() < mHighestPosition) {
                throw new AssertionError(mVm.id() + " decreased its position to " + history);
            }
            if (!history.equals(mOracle.get((int) history.position()))) {
                throw new AssertionError(
                        mVm.id() + " differs from the published list at " + history);
            }
            mHighestPosition = history.position();
        }

        private void scheduleTick(long incarnation) {
            schedule(
                    TICK_MILLIS,
                    () -> {
                        if (incarnation == mIncarnation) {
                            if (!mPaused) {
                                mGossip.tick(mNowMillis);
                                check();
                            }
                            scheduleTick(incarnation);
                        }
                    });
        }
    }

    final List<Node> mNodes = new ArrayList<>();
    final List<String> mLog = new ArrayList<>();
    private final List<ChainFold.Chain> mOracle = new ArrayList<>();
    private final Map<Integer, Node> mByPort = new HashMap<>();
    private final Set<String> mBlockedPaths = new HashSet<>();
    private final PriorityQueue<Event> mEvents =
            new PriorityQueue<>(
                    Comparator.comparingLong(Event::atMillis).thenComparingLong(Event::order));
    private final SplittableRandom mRandom;
    private final GossipSettings mSettings;
    long mNowMillis = 1_000_000;
    double mLossShare;
    double mDuplicateShare;
    boolean mReorder;
    private long mOrder;

    SimulatedGossipFleet(int size, int domains, GossipSettings settings, long seed) {
        mRandom = new SplittableRandom(seed);
        mSettings = settings;
        mOracle.add(FOLD.empty());
        for (int i = 0; i < size; i++) {
            int port = FIRST_PORT + i;
            Vm vm = new Vm("vm" + i, "d" + i % domains, "10.0.0.1", 1, 1, port, 1);
            Node node = new Node(vm);
            mNodes.add(node);
            mByPort.put(port, node);
        }
        mNodes.forEach(Node::start);
        mNodes.get(0).readVms();
    }

    /** Appends a body to the published log. */
    long publish(String body) {
        mLog.add(body);
        ChainFold.Chain last = mOracle.get(mOracle.size() - 1);
        mOracle.add(FOLD.apply(last, new LogRecord(mLog.size(), body)));
        return mLog.size();
    }

    /** Drops all messages in one direction. */
    void block(Node from, Node to) {
        mBlockedPaths.add(from.mVm.id() + '>' + to.mVm.id());
    }

    void heal() {
        mBlockedPaths.clear();
        mLossShare = 0;
    }

    /** Drops all messages on the current links of a node permanently, while new links work. */
    void dropMessagesOnLinksOf(Node node) {
        node.mConnections.values().forEach(connection -> connection.mDropsMessages = true);
    }

    long highestPosition() {
        return mNodes.stream()
                .filter(Node::isRunning)
                .mapToLong(node -> node.mGossip.position())
                .max()
                .orElse(0);
    }

    boolean allAt(long position) {
        return mNodes.stream()
                .filter(Node::isRunning)
                .allMatch(node -> node.mGossip.position() == position);
    }

    int count(GossipEvent event) {
        return mNodes.stream().mapToInt(node -> node.count(event)).sum();
    }

    void run(long millis) {
        long endMillis = mNowMillis + millis;
        while (!mEvents.isEmpty() && mEvents.peek().atMillis() <= endMillis) {
            Event event = mEvents.poll();
            mNowMillis = event.atMillis();
            event.action().run();
        }
        mNowMillis = endMillis;
    }

    @Override
    public String toString() {
        StringBuilder text = new StringBuilder();
        for (Node node : mNodes) {
            text.append(node.mVm.id()).append(" position ");
            text.append(node.isRunning() ? node.mGossip.position() : -1);
            text.append(" links ").append(node.isRunning() ? node.mGossip.establishedLinks() : -1);
            text.append(' ').append(node.mEvents).append(System.lineSeparator());
        }
        return text.toString();
    }

    private void connect(Connection connection, Node target) {
        boolean isReached =
                target != null
                        && target.isRunning()
                        && !isBlockedBetween(connection.mDialler, target);
        if (!isReached) {
            if (target == null || !target.isRunning()) {
                disconnect(connection, connection.mDialler, connection.mDiallerLink);
            }
            return;
        }
        connection.mAcceptor = target;
        connection.mAcceptorLink = target.mNextAccepted--;
        target.mConnections.put(connection.mAcceptorLink, connection);
        run(target, () -> target.mGossip.onAccepted(connection.mAcceptorLink, mNowMillis));
        Node dialler = connection.mDialler;
        schedule(
                1,
                () -> {
                    if (dialler.mConnections.get(connection.mDiallerLink) == connection) {
                        run(dialler, () -> dialler.mGossip.onConnected(connection.mDiallerLink));
                    }
                });
    }

    private void deliver(Connection connection, Node from, Node to, PeerMessage message) {
        long link = to == connection.mDialler ? connection.mDiallerLink : connection.mAcceptorLink;
        boolean isBlocked = mBlockedPaths.contains(from.mVm.id() + '>' + to.mVm.id());
        if (!isBlocked && !connection.mDropsMessages && to.mConnections.get(link) == connection) {
            run(to, () -> to.mGossip.onMessage(link, message, mNowMillis));
        }
    }

    private void closeOtherEnd(Connection connection, Node by) {
        if (connection.mAcceptor == null || connection.mDropsMessages) {
            return;
        }
        Node other = by == connection.mDialler ? connection.mAcceptor : connection.mDialler;
        long link =
                other == connection.mDialler ? connection.mDiallerLink : connection.mAcceptorLink;
        schedule(1, () -> disconnect(connection, other, link));
    }

    private void disconnect(Connection connection, Node node, long link) {
        if (node.mConnections.remove(link, connection)) {
            run(node, () -> node.mGossip.onClosed(link, mNowMillis));
        }
    }

    /** Runs an action on a node unless it is stopped; defers it while the node is paused. */
    private static void run(Node node, Runnable action) {
        if (!node.isRunning()) {
            return;
        }
        if (node.mPaused) {
            node.mDeferred.add(() -> run(node, action));
        } else {
            action.run();
        }
    }

    private boolean isBlockedBetween(Node one, Node other) {
        return mBlockedPaths.contains(one.mVm.id() + '>' + other.mVm.id())
                || mBlockedPaths.contains(other.mVm.id() + '>' + one.mVm.id());
    }

    private void schedule(long delayMillis, Runnable action) {
        mEvents.add(new Event(mNowMillis + delayMillis, mOrder++, action));
    }

    private long delay() {
        return 1 + mRandom.nextLong(20);
    }

    private boolean isLost(PeerMessage message) {
        return mRandom.nextDouble() < mLossShare;
    }

    private boolean isDuplicated(PeerMessage message) {
        return !isHandshake(message) && mRandom.nextDouble() < mDuplicateShare;
    }

    private static boolean isHandshake(PeerMessage message) {
        return message instanceof PeerMessage.Hello || message instanceof PeerMessage.Welcome;
    }
}

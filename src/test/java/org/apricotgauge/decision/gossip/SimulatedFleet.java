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
 * Nodes on a network and a clock of this test's own: loss, delay, duplication, one-way cuts, silent
 * connections, pauses and restarts, all from one seed.
 *
 * <p>The oracle is the list of published bodies: after every event each node's digest must be that
 * of the list up to its position, and no run of a node may move back.
 */
final class SimulatedFleet {
    private static final long TICK_MILLIS = 100;
    private static final int FIRST_PORT = 1_000;
    private static final ChainFold FOLD = new ChainFold();

    private record Event(long atMillis, long order, Runnable body) {}

    /** One connection; either end may be gone. */
    private static final class Wire {
        final Node mDialler;
        final long mDialled;
        Node mAcceptor;
        long mAccepted;
        boolean mSilent;

        Wire(Node dialler, long dialled) {
            mDialler = dialler;
            mDialled = dialled;
        }
    }

    /** One node over all its runs. */
    final class Node implements PeerPort<ChainFold.Chain>, GossipListener<ChainFold.Chain> {
        final Vm mVm;
        final Map<GossipEvent, Integer> mEvents = new EnumMap<>(GossipEvent.class);
        final List<LeavingNotice> mNotices = new ArrayList<>();
        final Map<Long, Wire> mWires = new HashMap<>();
        GossipNode<ChainFold.Chain> mMachine;
        boolean mPaused;
        private final List<Runnable> mHeldBack = new ArrayList<>();
        private long mRun;
        private long mNextAccepted = -1;
        private long mHighest;

        Node(Vm vm) {
            mVm = vm;
        }

        void start() {
            mRun++;
            mHighest = 0;
            List<Address> seeds =
                    List.of(
                            new Address("10.0.0.1", FIRST_PORT),
                            new Address("10.0.0.1", FIRST_PORT + 1));
            mMachine =
                    new GossipNode<>(
                            new NodeIdentity("site", mVm, mRun, seeds),
                            mSettings,
                            FOLD,
                            this,
                            this,
                            mRandom.nextLong(),
                            mNowMillis);
            tickLater(mRun);
        }

        /** Ends the run; with {@code silently} the peers' ends of its links don't hear of it. */
        void kill(boolean silently) {
            mRun++;
            mMachine = null;
            mHeldBack.clear();
            for (Wire wire : List.copyOf(mWires.values())) {
                if (silently) {
                    wire.mSilent = true;
                } else {
                    hangUp(wire, this);
                }
            }
            mWires.clear();
        }

        void pause() {
            mPaused = true;
        }

        void resume() {
            mPaused = false;
            List.copyOf(mHeldBack).forEach(Runnable::run);
            mHeldBack.clear();
        }

        int count(GossipEvent event) {
            return mEvents.getOrDefault(event, 0);
        }

        boolean up() {
            return mMachine != null;
        }

        /** Reads the platform as a watcher would. */
        boolean readLog(long visibleHead) {
            long from = mMachine.position() + 1;
            List<LogRecord> page = new ArrayList<>();
            for (long p = from; p <= visibleHead; p++) {
                page.add(new LogRecord(p, mLog.get((int) (p - 1))));
            }
            boolean fresh = mMachine.onPublished(new LogPage(visibleHead, page));
            check();
            return fresh;
        }

        void readVms() {
            List<VmStatus> vms = new ArrayList<>();
            mNodes.forEach(node -> vms.add(new VmStatus(node.mVm, VmStatus.State.LIVE)));
            mMachine.onPublishedVms(0, new VmPage(1, vms, List.of(), false), mNowMillis);
        }

        @Override
        public void dial(long link, Address address) {
            Wire wire = new Wire(this, link);
            mWires.put(link, wire);
            Node target = mByPort.get(address.port());
            after(delay(), () -> arrive(wire, target));
        }

        @Override
        public void send(long link, PeerMessage message) {
            Wire wire = mWires.get(link);
            if (wire == null || wire.mAcceptor == null) {
                return;
            }
            Node to = wire.mDialler == this ? wire.mAcceptor : wire.mDialler;
            int copies = lost(message) ? 0 : duplicated(message) ? 2 : 1;
            for (int i = 0; i < copies; i++) {
                long delayMillis = mReorder && !greeting(message) ? delay() : 1;
                after(delayMillis, () -> deliver(wire, this, to, message));
            }
        }

        @Override
        public void close(long link) {
            Wire wire = mWires.remove(link);
            if (wire != null) {
                hangUp(wire, this);
            }
        }

        @Override
        public void encode(ChainFold.Chain history) {
            List<byte[]> chunks = FOLD.encode(history);
            run(this, () -> mMachine.onEncoded(chunks, mNowMillis));
        }

        @Override
        public void decode(List<byte[]> chunks) {
            run(this, () -> mMachine.onDecoded(FOLD.decode(chunks)));
        }

        @Override
        public void onHistory(ChainFold.Chain history) {
            check();
        }

        @Override
        public void onView(LiveView view) {}

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
            ChainFold.Chain history = mMachine.history();
            if (history.position() < mHighest) {
                throw new AssertionError(mVm.id() + " fell back to " + history);
            }
            if (!history.equals(mOracle.get((int) history.position()))) {
                throw new AssertionError(mVm.id() + " differs from the list at " + history);
            }
            mHighest = history.position();
        }

        private void tickLater(long run) {
            after(
                    TICK_MILLIS,
                    () -> {
                        if (run == mRun) {
                            if (!mPaused) {
                                mMachine.tick(mNowMillis);
                                check();
                            }
                            tickLater(run);
                        }
                    });
        }
    }

    final List<Node> mNodes = new ArrayList<>();
    final List<String> mLog = new ArrayList<>();
    private final List<ChainFold.Chain> mOracle = new ArrayList<>();
    private final Map<Integer, Node> mByPort = new HashMap<>();
    private final Set<String> mCuts = new HashSet<>();
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

    SimulatedFleet(int size, int domains, GossipSettings settings, long seed) {
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

    /** Lets frames of one way vanish. */
    void cut(Node from, Node to) {
        mCuts.add(from.mVm.id() + '>' + to.mVm.id());
    }

    void heal() {
        mCuts.clear();
        mLossShare = 0;
    }

    /** Makes all present links of a node silent for good, while new ones work. */
    void silenceLinksOf(Node node) {
        node.mWires.values().forEach(wire -> wire.mSilent = true);
    }

    long highestPosition() {
        return mNodes.stream()
                .filter(Node::up)
                .mapToLong(node -> node.mMachine.position())
                .max()
                .orElse(0);
    }

    boolean allAt(long position) {
        return mNodes.stream()
                .filter(Node::up)
                .allMatch(node -> node.mMachine.position() == position);
    }

    int count(GossipEvent event) {
        return mNodes.stream().mapToInt(node -> node.count(event)).sum();
    }

    void run(long millis) {
        long endMillis = mNowMillis + millis;
        while (!mEvents.isEmpty() && mEvents.peek().atMillis() <= endMillis) {
            Event event = mEvents.poll();
            mNowMillis = event.atMillis();
            event.body().run();
        }
        mNowMillis = endMillis;
    }

    @Override
    public String toString() {
        StringBuilder text = new StringBuilder();
        for (Node node : mNodes) {
            text.append(node.mVm.id()).append(" position ");
            text.append(node.up() ? node.mMachine.position() : -1);
            text.append(" links ").append(node.up() ? node.mMachine.links() : -1);
            text.append(' ').append(node.mEvents).append(System.lineSeparator());
        }
        return text.toString();
    }

    private void arrive(Wire wire, Node target) {
        boolean reached = target != null && target.up() && !cutBetween(wire.mDialler, target);
        if (!reached) {
            if (target == null || !target.up()) {
                end(wire, wire.mDialler, wire.mDialled);
            }
            return;
        }
        wire.mAcceptor = target;
        wire.mAccepted = target.mNextAccepted--;
        target.mWires.put(wire.mAccepted, wire);
        run(target, () -> target.mMachine.onAccepted(wire.mAccepted, mNowMillis));
        Node dialler = wire.mDialler;
        after(
                1,
                () -> {
                    if (dialler.mWires.get(wire.mDialled) == wire) {
                        run(dialler, () -> dialler.mMachine.onConnected(wire.mDialled));
                    }
                });
    }

    private void deliver(Wire wire, Node from, Node to, PeerMessage message) {
        long link = to == wire.mDialler ? wire.mDialled : wire.mAccepted;
        boolean cut = mCuts.contains(from.mVm.id() + '>' + to.mVm.id());
        if (!cut && !wire.mSilent && to.mWires.get(link) == wire) {
            run(to, () -> to.mMachine.onMessage(link, message, mNowMillis));
        }
    }

    private void hangUp(Wire wire, Node by) {
        if (wire.mAcceptor == null || wire.mSilent) {
            return;
        }
        Node other = by == wire.mDialler ? wire.mAcceptor : wire.mDialler;
        long link = other == wire.mDialler ? wire.mDialled : wire.mAccepted;
        after(1, () -> end(wire, other, link));
    }

    private void end(Wire wire, Node node, long link) {
        if (node.mWires.remove(link, wire)) {
            run(node, () -> node.mMachine.onClosed(link, mNowMillis));
        }
    }

    /** Runs what reaches a node, unless it is down; a paused one gets it when it wakes. */
    private static void run(Node node, Runnable body) {
        if (!node.up()) {
            return;
        }
        if (node.mPaused) {
            node.mHeldBack.add(() -> run(node, body));
        } else {
            body.run();
        }
    }

    private boolean cutBetween(Node one, Node other) {
        return mCuts.contains(one.mVm.id() + '>' + other.mVm.id())
                || mCuts.contains(other.mVm.id() + '>' + one.mVm.id());
    }

    private void after(long millis, Runnable body) {
        mEvents.add(new Event(mNowMillis + millis, mOrder++, body));
    }

    private long delay() {
        return 1 + mRandom.nextLong(20);
    }

    private boolean lost(PeerMessage message) {
        return mRandom.nextDouble() < mLossShare;
    }

    private boolean duplicated(PeerMessage message) {
        return !greeting(message) && mRandom.nextDouble() < mDuplicateShare;
    }

    private static boolean greeting(PeerMessage message) {
        return message instanceof PeerMessage.Hello || message instanceof PeerMessage.Welcome;
    }
}

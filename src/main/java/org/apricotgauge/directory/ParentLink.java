package org.apricotgauge.directory;

import java.util.Objects;
import java.util.function.Predicate;
import org.apricotgauge.model.Address;
import org.apricotgauge.model.Checks;

/**
 * The node that this one reads the site from, or that confirms its view if it reads the platform.
 *
 * <p>A parent that does not answer, or that can't tell how old its view is, is passed over for a
 * while; the next in the {@link ReaderTree} takes its place. Not thread-safe.
 */
final class ParentLink {
    private final DirectoryFeed.Parts mParts;
    private final DirectoryLog mLog;
    private final Suspects mSuspects = new Suspects();
    private final PendingRead mQuestion;
    private final Runnable mOnStillOld;
    private ReaderTree mTree = ReaderTree.alone();
    private Address mNode;
    private Address mConfirmer;
    private long mNextQuestionMillis;

    /**
     * Creates a link to nobody: the platform is read.
     *
     * @param parts what the feed works with
     * @param log takes what is believed of other nodes
     * @param onPage takes what the node tells that was asked
     * @param onStillOld runs when a question brought no younger view
     */
    ParentLink(
            DirectoryFeed.Parts parts,
            DirectoryLog log,
            PendingRead.OnPage onPage,
            Runnable onStillOld) {
        mParts = Checks.notNull("parts", parts);
        mLog = Checks.notNull("log", log);
        mQuestion = new PendingRead(parts.worker(), onPage);
        mOnStillOld = Checks.notNull("onStillOld", onStillOld);
    }

    /** Returns the node to read from; null for the platform. */
    Address node() {
        return mNode;
    }

    /** Returns the node to ask for a younger view; null if only the platform can be asked. */
    Address asked() {
        return mNode == null ? mConfirmer : mNode;
    }

    ReaderTree tree() {
        return mTree;
    }

    void setTree(ReaderTree tree) {
        mTree = Checks.notNull("tree", tree);
    }

    /**
     * Looks whom to read from now; returns whether it is somebody else than before.
     *
     * <p>A node that has just started has nobody's word yet that its neighbours answer. After one
     * failure it reads the platform, so that its callers need not wait while it tries one by one.
     *
     * @param isStarting whether the node is not open to callers yet
     * @param revision what is known, for the log
     */
    boolean follow(boolean isStarting, long revision, long nowMillis) {
        boolean isHurried = isStarting && !mSuspects.isEmpty();
        Predicate<Address> isSuspect = one -> isHurried || mSuspects.contains(one, nowMillis);
        Address askedBefore = asked();
        Address nodeBefore = mNode;
        mNode = isHurried ? null : mTree.parent(isSuspect).orElse(null);
        mConfirmer = mTree.confirmer(isSuspect).orElse(null);
        if (!Objects.equals(asked(), askedBefore)) {
            mQuestion.drop();
        }
        if (Objects.equals(mNode, nodeBefore)) {
            return false;
        }
        mLog.readsFrom(mNode, revision);
        return true;
    }

    /**
     * Asks for a younger view, unless that was done a moment ago.
     *
     * <p>A parent is given time to ask its own; whoever reads the platform asks that instead soon,
     * since others wait for its answer.
     *
     * @param revision what this node knows
     * @param pauseMillis least time until the next question
     */
    void ask(long revision, long pauseMillis, long nowMillis) {
        if (mQuestion.isUnderWay() || nowMillis < mNextQuestionMillis) {
            return;
        }
        mNextQuestionMillis = nowMillis + pauseMillis;
        long answerMillis = mParts.times().nodeAnswerMillis();
        mQuestion.begin(
                mParts.peers().apply(asked()),
                new PendingRead.Question(revision, 0),
                nowMillis + (mNode == null ? answerMillis : 2 * answerMillis),
                new QuestionEnd(asked()));
    }

    /** Passes a node over for a while. */
    void suspect(Address node, String reason) {
        mLog.peerFailed(node, reason);
        mSuspects.suspect(node, mParts.ticker().millis());
    }

    /** Ends a question that is due. */
    void expire(long nowMillis) {
        mQuestion.expire(nowMillis);
    }

    /** Gives a question up. */
    void drop() {
        mQuestion.drop();
    }

    // One whose page tells no age knows no more of the platform than this node.
    private void judge(Address node, PublishedPage page) {
        if (!page.tellsAge()) {
            suspect(node, "does not tell the age of its view");
        }
    }

    /**
     * Returns how a read of a node ends that waits for changes.
     *
     * @param node the node
     * @param onAnswered runs when it was answered
     */
    PendingRead.End watchEnd(Address node, Runnable onAnswered) {
        return new PendingRead.End() {
            @Override
            public void answered(PublishedPage page) {
                judge(node, page);
                onAnswered.run();
            }

            @Override
            public void failed(String reason) {
                suspect(node, reason);
            }
        };
    }

    private final class QuestionEnd implements PendingRead.End {
        private final Address mAsked;

        private QuestionEnd(Address asked) {
            mAsked = asked;
        }

        @Override
        public void answered(PublishedPage page) {
            judge(mAsked, page);
            if (page.tellsAge() && page.ageMillis() <= mParts.times().youngMillis()) {
                mSuspects.trust(mAsked);
                return;
            }
            if (mAsked.equals(mConfirmer) && page.tellsAge()) {
                suspect(mAsked, "its view is no younger");
            }
            mOnStillOld.run();
        }

        @Override
        public void failed(String reason) {
            suspect(mAsked, reason);
            mOnStillOld.run();
        }
    }
}

package org.apricotgauge.directory;

import java.util.Objects;
import org.apricotgauge.model.Address;
import org.apricotgauge.model.Checks;

/**
 * The node that this one reads the site from, while it answers.
 *
 * <p>A parent that does not answer, or that can't tell how old its view is, is passed over for a
 * while; the next in the {@link ReaderTree} takes its place. Not thread-safe.
 */
final class ParentLink {
    private final DirectoryFeed.Parts mParts;
    private final DirectoryLog mLog;
    private final Suspects mSuspects = new Suspects();
    private final PendingRead mQuestion;
    private ReaderTree mTree = ReaderTree.alone();
    private Address mNode;
    private long mNextQuestionMillis;

    /**
     * Creates a link to nobody: the platform is read.
     *
     * @param parts what the feed works with
     * @param log takes what is believed of other nodes
     * @param onPage takes what the parent tells
     */
    ParentLink(DirectoryFeed.Parts parts, DirectoryLog log, PendingRead.OnPage onPage) {
        mParts = Checks.notNull("parts", parts);
        mLog = Checks.notNull("log", log);
        mQuestion = new PendingRead(parts.worker(), onPage);
    }

    /** Returns the node to read from; null for the platform. */
    Address node() {
        return mNode;
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
        Address node =
                isHurried
                        ? null
                        : mTree.parent(one -> mSuspects.contains(one, nowMillis)).orElse(null);
        if (Objects.equals(node, mNode)) {
            return false;
        }
        mLog.readsFrom(node, revision);
        mNode = node;
        mQuestion.drop();
        return true;
    }

    /**
     * Asks the parent for a younger view, unless it was asked a moment ago.
     *
     * @param revision what this node knows
     * @param pauseMillis least time until the next question
     */
    void ask(long revision, long pauseMillis, long nowMillis) {
        if (mQuestion.isUnderWay() || nowMillis < mNextQuestionMillis) {
            return;
        }
        mNextQuestionMillis = nowMillis + pauseMillis;
        mQuestion.begin(
                mParts.peers().apply(mNode),
                new PendingRead.Question(revision, 0),
                nowMillis + 2 * mParts.times().nodeAnswerMillis(),
                new QuestionEnd(mNode));
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

    /** Passes a node over whose page tells no age: it knows no more of the platform than this. */
    void judge(Address node, PublishedPage page) {
        if (!page.tellsAge()) {
            suspect(node, "does not tell the age of its view");
        }
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
            }
        }

        @Override
        public void failed(String reason) {
            suspect(mAsked, reason);
        }
    }
}

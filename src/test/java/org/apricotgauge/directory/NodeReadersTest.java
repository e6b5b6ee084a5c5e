package org.apricotgauge.directory;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.concurrent.CompletableFuture;
import org.junit.jupiter.api.Test;

class NodeReadersTest {
    private static final PlatformTimes TIMES = new PlatformTimes(2_000, 1_500);

    private final FakeView mView = new FakeView();
    private final NodeReaders mReaders = new NodeReaders(mView, TIMES);

    private static final class FakeView implements NodeReaders.View {
        private ItemTable mItems =
                ItemTable.EMPTY.with(new PublishedPage(5, true, List.of(item("a", 5))));
        private long mAgeMillis;
        private boolean mKnowsAge = true;
        private boolean mCanAsk = true;
        private int mAsked;
        private int mStayedOld;

        @Override
        public ItemTable items() {
            return mItems;
        }

        @Override
        public long ageMillis() {
            return mAgeMillis;
        }

        @Override
        public boolean knowsAge() {
            return mKnowsAge;
        }

        @Override
        public boolean makeYounger() {
            mAsked++;
            return mCanAsk;
        }

        @Override
        public void stayedOld() {
            mStayedOld++;
        }
    }

    private static PublishedItem item(String key, long revision) {
        return new PublishedItem(key, new byte[] {1}, revision, false);
    }

    private CompletableFuture<PublishedPage> ask(long after, long waitMillis, long nowMillis) {
        CompletableFuture<PublishedPage> answer = new CompletableFuture<>();
        mReaders.ask(after, waitMillis, answer, nowMillis);
        return answer;
    }

    @Test
    void aWatchIsAnsweredByTheNextChange() {
        CompletableFuture<PublishedPage> answer = ask(5, 10_000, 0);
        mReaders.answer(100);
        assertThat(answer).isNotDone();

        mView.mItems = mView.mItems.with(new PublishedPage(7, false, List.of(item("b", 7))));
        mReaders.answer(200);

        assertThat(answer.join().items()).extracting(PublishedItem::key).containsExactly("b");
    }

    @Test
    void aWatchWithoutAChangeEndsWithTheAgeOfTheView() {
        CompletableFuture<PublishedPage> answer = ask(5, 1_000, 0);
        mView.mAgeMillis = 321;

        mReaders.answer(1_000);

        assertThat(answer.join().items()).isEmpty();
        assertThat(answer.join().ageMillis()).isEqualTo(321);
        assertThat(mView.mStayedOld).isZero();
    }

    @Test
    void aQuestionIsAnsweredOnceTheViewIsYoung() {
        mView.mAgeMillis = TIMES.youngMillis() + 1;
        CompletableFuture<PublishedPage> answer = ask(5, 0, 0);
        assertThat(answer).isNotDone();
        assertThat(mView.mAsked).isEqualTo(1);

        mView.mAgeMillis = 4;
        mReaders.answer(4);

        assertThat(answer.join().ageMillis()).isEqualTo(4);
    }

    @Test
    void aQuestionIsAnsweredInTimeThoughNobodyMadeTheViewYounger() {
        // The platform does not answer this node. Whoever reads from it has its own bound to keep,
        // and must learn soon that it has to ask somebody else.
        mView.mAgeMillis = 1_000;
        CompletableFuture<PublishedPage> answer = ask(5, 0, 0);

        mReaders.answer(TIMES.nodeAnswerMillis());

        assertThat(answer.join().ageMillis()).isEqualTo(1_000);
        assertThat(mView.mStayedOld).isEqualTo(1);
    }

    @Test
    void aNodeThatLostThePlatformAnswersAtOnce() {
        mView.mAgeMillis = 1_000;
        mView.mCanAsk = false;

        assertThat(ask(5, 0, 0)).isCompleted();
    }

    @Test
    void aNodeThatDoesNotKnowItsAgeSaysSoUnlessItLearnsItInTime() {
        mView.mKnowsAge = false;
        CompletableFuture<PublishedPage> answer = ask(5, 0, 0);
        assertThat(answer).isNotDone();

        mReaders.answer(TIMES.nodeAnswerMillis());

        assertThat(answer.join().tellsAge()).isFalse();
    }

    @Test
    void moreReadersThanTheBoundAreAnsweredAtOnce() {
        for (int i = 0; i < NodeReaders.MOST; i++) {
            assertThat(ask(5, 10_000, 0)).isNotDone();
        }
        assertThat(ask(5, 10_000, 0)).isCompleted();
    }
}

package org.apricotgauge.directory;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import org.junit.jupiter.api.Test;

class PendingReadTest {
    private static final PublishedPage PAGE = new PublishedPage(5, false, List.of());
    private static final PendingRead.Question QUESTION = new PendingRead.Question(4, 0);

    private final List<String> mHeard = new ArrayList<>();
    private final List<CompletableFuture<PublishedPage>> mAnswers = new ArrayList<>();
    private final PendingRead mRead =
            new PendingRead(
                    Runnable::run,
                    (page, inTime) -> mHeard.add(inTime ? "page in time" : "late page"));
    private final PendingRead.End mEnd =
            new PendingRead.End() {
                @Override
                public void answered(PublishedPage page) {
                    mHeard.add("answered");
                }

                @Override
                public void failed(String reason) {
                    mHeard.add("failed");
                }
            };

    private void begin() {
        mRead.begin(
                (after, waitMillis) -> {
                    mAnswers.add(new CompletableFuture<>());
                    return mAnswers.get(mAnswers.size() - 1);
                },
                QUESTION,
                100,
                mEnd);
    }

    @Test
    void endsOnceWithItsAnswer() {
        begin();
        mRead.expire(99);
        mAnswers.get(0).complete(PAGE);
        mRead.expire(100);

        assertThat(mHeard).containsExactly("page in time", "answered");
        assertThat(mRead.isUnderWay()).isFalse();
    }

    @Test
    void endsOnceWithItsFailure() {
        begin();
        mAnswers.get(0).completeExceptionally(new IOException("refused"));
        mRead.expire(100);

        assertThat(mHeard).containsExactly("failed");
    }

    @Test
    void aPageThatComesTooLateBringsNewsAndEndsNothing() {
        // It may have waited in a socket while this process was suspended; taken for the answer of
        // this moment it would confirm an old view.
        begin();
        mRead.expire(100);
        mAnswers.get(0).complete(PAGE);

        assertThat(mHeard).containsExactly("failed", "late page");
    }

    @Test
    void theReadBeforeEndsUnheardWhenAnotherBegins() {
        begin();
        begin();
        mAnswers.get(0).completeExceptionally(new IOException("refused"));
        assertThat(mRead.isUnderWay()).isTrue();
        mAnswers.get(1).complete(PAGE);

        assertThat(mHeard).containsExactly("page in time", "answered");
    }

    @Test
    void aReadThatWasGivenUpEndsUnheard() {
        begin();
        mRead.drop();
        mAnswers.get(0).complete(PAGE);

        assertThat(mHeard).containsExactly("late page");
    }
}

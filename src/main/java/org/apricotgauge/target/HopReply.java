package org.apricotgauge.target;

import java.util.concurrent.CompletableFuture;
import org.apricotgauge.decision.attempt.Outcome;
import org.apricotgauge.http.client.UpstreamResponse;
import org.eclipse.jetty.http.HttpFields;
import org.eclipse.jetty.io.Content;
import org.eclipse.jetty.util.Callback;

/**
 * The reply of a guard to one attempt, over a connection or within the process.
 *
 * <pre>{@code
 * reply.watch(this::onEntryDisconnected);
 * reply.headers().put(Attempt.HEADER, attempt.toString());
 * reply.answer(answer, body, whenCopied);   // then complete() or fail(...)
 * reply.end(outcome);                       // or this, without an answer
 * }</pre>
 *
 * <p>It ends once: with {@link #end}, or with {@link #complete} or {@link #fail} after an answer.
 * No method blocks. Implementations are thread-safe, but for concurrent writes.
 */
public interface HopReply {

    /** Returns whether the entry is another process, and the path to it may break unnoticed. */
    boolean isRemote();

    /** Returns the headers of the reply, to be added to until its head is sent. */
    HttpFields.Mutable headers();

    /**
     * Tells the entry that the attempt has arrived, and what the fields say.
     *
     * @param fields sent as they are; over a connection only if they offer a further attempt
     * @return completes once the next write is allowed
     */
    CompletableFuture<Void> acknowledge(HttpFields fields);

    /** Calls the watcher once if the entry gives up the attempt, until {@link #unwatch}. */
    void watch(Runnable onDisconnected);

    /** Ends the watch; to be called before the reply ends. */
    void unwatch();

    /** Runs an action once the reply has ended; to be called before anything is written. */
    void whenEnded(Runnable action);

    /** Writes an outcome without an answer of the target, and ends the reply. */
    void end(Outcome outcome);

    /**
     * Writes the status, the headers and the body of a target's answer, with back pressure.
     *
     * @param answer head of the answer, whose headers were added to {@link #headers}
     * @param whenCopied succeeds once the body needs the target no longer
     */
    void answer(UpstreamResponse answer, Content.Source body, Callback whenCopied);

    /** Ends the reply after its answer. */
    void complete();

    /** Ends the reply in the middle of its answer, so that it never looks complete. */
    void fail(Throwable cause);
}

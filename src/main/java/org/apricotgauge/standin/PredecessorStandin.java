package org.apricotgauge.standin;

import java.nio.ByteBuffer;
import java.util.EnumSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.atomic.AtomicInteger;
import org.apricotgauge.http.Bodies;
import org.apricotgauge.http.HttpServerFactory;
import org.apricotgauge.http.ResponseForwarder;
import org.apricotgauge.http.client.UpstreamClient;
import org.apricotgauge.http.client.UpstreamClientFactory;
import org.apricotgauge.http.client.UpstreamExchange;
import org.apricotgauge.http.client.UpstreamRequest;
import org.apricotgauge.http.client.UpstreamResponse;
import org.apricotgauge.model.Address;
import org.apricotgauge.model.Checks;
import org.eclipse.jetty.http.HttpField;
import org.eclipse.jetty.http.HttpFields;
import org.eclipse.jetty.http.HttpHeader;
import org.eclipse.jetty.http.HttpStatus;
import org.eclipse.jetty.io.Content;
import org.eclipse.jetty.server.Handler;
import org.eclipse.jetty.server.Request;
import org.eclipse.jetty.server.Response;
import org.eclipse.jetty.server.Server;
import org.eclipse.jetty.util.Callback;
import org.eclipse.jetty.util.thread.QueuedThreadPool;
import org.eclipse.jetty.util.thread.ScheduledExecutorScheduler;

/**
 * Stands in for the older routing system: forwards to targets in turn, unseen by the fleet.
 *
 * <pre>{@code
 * PredecessorStandin older = PredecessorStandin.start("127.0.0.1", 0, targets);
 * }</pre>
 *
 * <p>It takes the targets' slots without asking anybody. A GET that a target sheds goes to the next
 * target, once; nothing else is sent again.
 */
public final class PredecessorStandin implements AutoCloseable {
    private static final int MAX_THREADS = 32;
    private static final long CONNECT_TIMEOUT_MILLIS = 1_000;
    private static final int MAX_BODY_BYTES = 16 * 1024 * 1024;
    private static final Set<HttpHeader> DROPPED =
            EnumSet.of(
                    HttpHeader.CONNECTION,
                    HttpHeader.KEEP_ALIVE,
                    HttpHeader.TRANSFER_ENCODING,
                    HttpHeader.CONTENT_LENGTH,
                    HttpHeader.EXPECT);

    private final List<Address> mTargets;
    private final QueuedThreadPool mThreads = new QueuedThreadPool(MAX_THREADS);
    private final ScheduledExecutorScheduler mScheduler =
            new ScheduledExecutorScheduler("older-timer", true);
    private final UpstreamClientFactory mClients =
            new UpstreamClientFactory(mThreads, mScheduler, CONNECT_TIMEOUT_MILLIS);
    private final UpstreamClient mClient =
            mClients.create(new UpstreamClientFactory.Limits(30_000, 64, 4_096));
    private final Server mServer;
    private final AtomicInteger mServed = new AtomicInteger();

    private PredecessorStandin(String host, int port, List<Address> targets) {
        mTargets = List.copyOf(targets);
        Checks.inRange("targets", mTargets.size(), 1, Integer.MAX_VALUE);
        mThreads.setName("older");
        mServer =
                new HttpServerFactory(mThreads, mScheduler)
                        .create(host, port, new Forwarder(), () -> {});
    }

    /**
     * Starts a stand-in.
     *
     * @throws IllegalStateException if it cannot listen there
     */
    public static PredecessorStandin start(String host, int port, List<Address> targets) {
        PredecessorStandin standin = new PredecessorStandin(host, port, targets);
        try {
            standin.mThreads.start();
            standin.mScheduler.start();
            standin.mClients.start();
            standin.mServer.start();
        } catch (Exception e) {
            throw new IllegalStateException("cannot listen at " + host + ':' + port, e);
        }
        return standin;
    }

    /** Returns the port it listens at. */
    public int port() {
        return HttpServerFactory.portOf(mServer);
    }

    /** Returns how many requests came to it. */
    public int served() {
        return mServed.get();
    }

    @Override
    public void close() {
        try {
            mServer.stop();
            mClient.close();
            mClients.stop();
            mScheduler.stop();
            mThreads.stop();
        } catch (Exception e) {
            throw new IllegalStateException("older system's stand-in does not stop", e);
        }
    }

    /** Reads a request whole and forwards it. */
    private final class Forwarder extends Handler.Abstract.NonBlocking {
        @Override
        public boolean handle(Request request, Response response, Callback callback) {
            int turn = mServed.getAndIncrement();
            Bodies.readAll(request, MAX_BODY_BYTES)
                    .whenComplete(
                            (body, failure) -> {
                                if (failure == null) {
                                    new Forwarded(request, response, callback, body)
                                            .send(turn, "GET".equals(request.getMethod()));
                                } else {
                                    callback.failed(failure);
                                }
                            });
            return true;
        }
    }

    /** One request on its way through. */
    private final class Forwarded {
        private final Request mRequest;
        private final Response mResponse;
        private final Callback mCallback;
        private final byte[] mBody;

        private Forwarded(Request request, Response response, Callback callback, byte[] body) {
            mRequest = request;
            mResponse = response;
            mCallback = callback;
            mBody = body;
        }

        private void send(int turn, boolean mayRetry) {
            Address target = mTargets.get(Math.floorMod(turn, mTargets.size()));
            HttpFields.Mutable headers = HttpFields.build();
            copy(mRequest.getHeaders(), headers);
            UpstreamRequest to =
                    new UpstreamRequest(
                            target,
                            mRequest.getMethod(),
                            mRequest.getHttpURI().getPathQuery(),
                            headers,
                            Content.Source.from(ByteBuffer.wrap(mBody)));
            mClient.send(to, new Listener(this, turn, mayRetry));
        }
    }

    private static void copy(HttpFields from, HttpFields.Mutable to) {
        for (HttpField field : from) {
            if (!DROPPED.contains(field.getHeader())) {
                to.add(field);
            }
        }
        to.add(HttpHeader.VIA, "1.1 older");
    }

    /** Passes the answer on, or tries the next target. */
    private record Listener(Forwarded forwarded, int turn, boolean mayRetry)
            implements UpstreamExchange.Listener {
        @Override
        public void onAnswer(UpstreamResponse answer, Content.Source body) {
            if (mayRetry && answer.status() == HttpStatus.SERVICE_UNAVAILABLE_503) {
                body.fail(new IllegalStateException("another target is tried"));
                forwarded.send(turn + 1, false);
                return;
            }
            ResponseForwarder.copyHead(answer, forwarded.mResponse);
            ResponseForwarder.copyBody(answer, body, forwarded.mResponse, forwarded.mCallback);
        }

        @Override
        public void onFailure(UpstreamExchange.Failure failure) {
            Bodies.writeText(
                    forwarded.mResponse,
                    forwarded.mCallback,
                    HttpStatus.BAD_GATEWAY_502,
                    "target does not answer\n");
        }
    }
}

package org.apricotgauge.standin;

import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.time.InstantSource;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.zip.CRC32;
import org.apricotgauge.http.Bodies;
import org.apricotgauge.http.HttpServerFactory;
import org.apricotgauge.model.Checks;
import org.eclipse.jetty.http.HttpHeader;
import org.eclipse.jetty.http.HttpStatus;
import org.eclipse.jetty.server.Handler;
import org.eclipse.jetty.server.Request;
import org.eclipse.jetty.server.Response;
import org.eclipse.jetty.server.Server;
import org.eclipse.jetty.util.Callback;
import org.eclipse.jetty.util.thread.QueuedThreadPool;
import org.eclipse.jetty.util.thread.ScheduledExecutorScheduler;
import org.eclipse.jetty.util.thread.Scheduler;

/**
 * A target whose faults are switched on demand while its health answer stays good.
 *
 * <pre>{@code
 * try (TargetStandin target = TargetStandin.start(settings)) {
 *     target.setFault(new Fault(50, 0, 1.0, 0, 0));
 * }
 * }</pre>
 *
 * <p>Any path but {@code /health} and {@code /standin/…} is work: it takes a slot, lasts a while
 * and answers with the request's id and a body of the size that was asked for. Work beyond the
 * slots is shed with 503 before it runs.
 */
public final class TargetStandin implements AutoCloseable {
    private static final ObjectMapper JSON = new ObjectMapper();
    private static final int MAX_BODY_BYTES = 64 * 1024 * 1024;
    private static final int MAX_THREADS = 64;
    private static final int ALL_PERCENT = 100;
    private static final int DEFAULT_ANSWER_BYTES = 200;

    private final Settings mSettings;
    private final Scheduler mScheduler = new ScheduledExecutorScheduler("target-timer", true);
    private final AtomicInteger mBusySlots = new AtomicInteger();
    private final RunLog mRuns = new RunLog();
    private final InstantSource mClock = InstantSource.system();
    private final SplittableRandom mRandom;
    private final Server mServer;
    private volatile Fault mFault = Fault.NONE;

    /**
     * How a stand-in behaves while nothing is wrong.
     *
     * @param id name of the target
     * @param host IP number to listen at
     * @param port port to listen at, 0 for any
     * @param slots how many requests run at a time
     * @param serviceMicros mean service time, in microseconds
     * @param seed seed of service times and faults
     */
    public record Settings(
            String id, String host, int port, int slots, long serviceMicros, long seed) {

        /** Checks the parts. */
        public Settings {
            Checks.id("id", id);
            Checks.notBlank("host", host);
            Checks.inRange("port", port, 0, 65_535);
            Checks.inRange("slots", slots, 1, 10_000);
            Checks.inRange("serviceMicros", serviceMicros, 0, 60_000_000);
        }
    }

    /**
     * What a stand-in tells of itself at {@code /standin/stats}.
     *
     * @param id name of the target
     * @param runs how often work ran
     * @param lastRunMillis when work last ran, in milliseconds since the epoch
     * @param busySlots slots in use
     */
    public record Stats(String id, long runs, long lastRunMillis, int busySlots) {}

    private TargetStandin(Settings settings) {
        mSettings = settings;
        mRandom = new SplittableRandom(settings.seed());
        QueuedThreadPool threads = new QueuedThreadPool(MAX_THREADS);
        threads.setName("target-" + settings.id());
        mServer =
                new HttpServerFactory(threads, mScheduler)
                        .create(settings.host(), settings.port(), new WorkHandler(), () -> {});
    }

    /**
     * Starts a stand-in.
     *
     * @throws IOException if it cannot listen
     */
    public static TargetStandin start(Settings settings) throws IOException {
        TargetStandin standin = new TargetStandin(settings);
        try {
            standin.mServer.start();
        } catch (Exception e) {
            throw new IOException("cannot listen at port " + settings.port(), e);
        }
        return standin;
    }

    /** Returns the port it listens at. */
    public int port() {
        return HttpServerFactory.portOf(mServer);
    }

    /** Switches what is wrong with it. */
    public void setFault(Fault fault) {
        mFault = Checks.notNull("fault", fault);
    }

    /** Returns what it tells of itself. */
    public Stats stats() {
        return new Stats(mSettings.id(), mRuns.total(), mRuns.lastRunMillis(), mBusySlots.get());
    }

    /** Returns how often each request ran, one {@code id count} a line. */
    public String runs() {
        return mRuns.asLines();
    }

    @Override
    public void close() {
        try {
            mServer.stop();
        } catch (Exception e) {
            throw new IllegalStateException("target stand-in does not stop", e);
        }
    }

    /** Sorts the requests into work and switches. */
    private final class WorkHandler extends Handler.Abstract.NonBlocking {

        @Override
        public boolean handle(Request request, Response response, Callback callback) {
            String path = Request.getPathInContext(request);
            switch (path) {
                case "/health" -> Bodies.writeText(response, callback, HttpStatus.OK_200, "ok\n");
                case "/standin/stats" -> json(response, callback, stats());
                case "/standin/runs" ->
                        Bodies.writeText(response, callback, HttpStatus.OK_200, runs());
                case "/standin/fault" -> switchFault(request, response, callback);
                default -> work(request, response, callback);
            }
            return true;
        }
    }

    private void switchFault(Request request, Response response, Callback callback) {
        Bodies.readAll(request, MAX_BODY_BYTES)
                .whenComplete(
                        (bytes, failure) -> {
                            try {
                                setFault(JSON.readValue(bytes, Fault.class));
                                Bodies.writeText(response, callback, HttpStatus.OK_200, "ok\n");
                            } catch (IOException | IllegalArgumentException e) {
                                Bodies.writeText(
                                        response,
                                        callback,
                                        HttpStatus.BAD_REQUEST_400,
                                        "bad fault\n");
                            }
                        });
    }

    private void work(Request request, Response response, Callback callback) {
        Fault fault = mFault;
        boolean noSlot = mBusySlots.incrementAndGet() > mSettings.slots();
        if (noSlot || percent(fault.shedPercent())) {
            mBusySlots.decrementAndGet();
            response.getHeaders().put(HttpHeader.RETRY_AFTER, 1);
            Bodies.writeText(response, callback, HttpStatus.SERVICE_UNAVAILABLE_503, "shed\n");
            return;
        }
        Bodies.readAll(request, MAX_BODY_BYTES)
                .whenComplete((body, failure) -> run(request, response, callback, body, fault));
    }

    private void run(
            Request request, Response response, Callback callback, byte[] body, Fault fault) {
        if (body == null) {
            mBusySlots.decrementAndGet();
            callback.failed(new IOException("request body broke off"));
            return;
        }
        String id = request.getHeaders().get(StandinHeaders.REQUEST_ID);
        if (id != null) {
            mRuns.ran(id, mClock.millis());
        }
        if (percent(fault.stallPercent())) {
            return;
        }
        Runnable answer =
                () -> {
                    mBusySlots.decrementAndGet();
                    answer(request, response, callback, body, fault);
                };
        mScheduler.schedule(answer, delayMicros(fault), TimeUnit.MICROSECONDS);
    }

    private void answer(
            Request request, Response response, Callback callback, byte[] body, Fault fault) {
        if (percent(fault.errorPercent())) {
            Bodies.writeText(response, callback, HttpStatus.INTERNAL_SERVER_ERROR_500, "broken\n");
            return;
        }
        String id = request.getHeaders().get(StandinHeaders.REQUEST_ID);
        long asked = request.getHeaders().getLongField(StandinHeaders.ANSWER_BYTES);
        byte[] answer = AnswerBody.of(id, asked < 0 ? DEFAULT_ANSWER_BYTES : (int) asked);
        CRC32 crc = new CRC32();
        crc.update(body);
        response.getHeaders().put(HttpHeader.CONTENT_TYPE, "application/octet-stream");
        response.getHeaders().put(StandinHeaders.BODY_CRC, Long.toHexString(crc.getValue()));
        response.getHeaders().put(StandinHeaders.SERVED_BY, mSettings.id());
        if (id != null) {
            response.getHeaders().put(StandinHeaders.REQUEST_ID, id);
        }
        if (percent(fault.truncatePercent())) {
            truncate(response, callback, answer);
            return;
        }
        response.getHeaders().put(HttpHeader.CONTENT_LENGTH, answer.length);
        response.write(true, ByteBuffer.wrap(answer), callback);
    }

    private static void truncate(Response response, Callback callback, byte[] answer) {
        response.getHeaders().put(HttpHeader.CONTENT_LENGTH, answer.length);
        ByteBuffer half = ByteBuffer.wrap(answer, 0, answer.length / 2);
        response.write(
                false,
                half,
                Callback.from(() -> callback.failed(new IOException("truncated on purpose"))));
    }

    private boolean percent(int share) {
        return share > 0 && nextInt(ALL_PERCENT) < share;
    }

    private synchronized int nextInt(int bound) {
        return mRandom.nextInt(bound);
    }

    /** Half of the mean is fixed, the rest exponential: a plain service without a heavy tail. */
    private synchronized long delayMicros(Fault fault) {
        double exponential = -Math.log(1.0 - mRandom.nextDouble());
        return (long) (mSettings.serviceMicros() * (0.5 + 0.5 * exponential) * fault.slowFactor());
    }

    private static void json(Response response, Callback callback, Stats stats) {
        try {
            Bodies.writeText(response, callback, HttpStatus.OK_200, JSON.writeValueAsString(stats));
        } catch (IOException e) {
            callback.failed(e);
        }
    }
}

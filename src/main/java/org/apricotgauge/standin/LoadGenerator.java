package org.apricotgauge.standin;

import java.util.Arrays;
import java.util.EnumMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentMap;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import java.util.concurrent.atomic.LongAdder;
import java.util.concurrent.locks.LockSupport;
import java.util.zip.CRC32;
import org.HdrHistogram.ConcurrentHistogram;
import org.HdrHistogram.Histogram;
import org.apricotgauge.http.HeaderNames;
import org.apricotgauge.http.HttpClientFactory;
import org.apricotgauge.model.Address;
import org.eclipse.jetty.client.BufferingResponseListener;
import org.eclipse.jetty.client.BytesRequestContent;
import org.eclipse.jetty.client.HttpClient;
import org.eclipse.jetty.client.Request;
import org.eclipse.jetty.client.Response;
import org.eclipse.jetty.client.Result;
import org.eclipse.jetty.http.HttpMethod;
import org.eclipse.jetty.http.HttpStatus;
import org.eclipse.jetty.util.thread.QueuedThreadPool;
import org.eclipse.jetty.util.thread.ScheduledExecutorScheduler;

/**
 * Callers: an open loop of requests whose answers are checked byte for byte.
 *
 * <pre>{@code
 * LoadReport report = new LoadGenerator("load", plan, 7).run();
 * }</pre>
 *
 * <p>Requests start at their planned times however slow the answers are, and latency counts from
 * the planned time, so that a stall shows in full (no coordinated omission). A caller takes another
 * entry only if its connection was refused before a byte was sent; it never repeats a request.
 */
public final class LoadGenerator {
    private static final int MAX_THREADS = 32;
    private static final int MAX_CONNECTIONS = 4_000;
    private static final int MAX_BODY_BYTES = 32 * 1024 * 1024;
    private static final long HIGHEST_MICROS = TimeUnit.MINUTES.toMicros(10);
    private static final int DIGITS = 3;
    private static final int ALL_PERCENT = 100;
    private static final int ORDER_BYTES = 120;
    private static final long SETTLE_POLL_MILLIS = 20;

    private final String mPrefix;
    private final LoadPlan mPlan;
    private final SplittableRandom mRandom;
    private final Histogram mLatency = new ConcurrentHistogram(HIGHEST_MICROS, DIGITS);
    private final Map<Told, LongAdder> mTold = new EnumMap<>(Told.class);
    private final ConcurrentMap<String, Told> mOrders = new ConcurrentHashMap<>();
    private final ConcurrentMap<String, Long> mReasons = new ConcurrentHashMap<>();
    private final ConcurrentMap<Address, Long> mBrokenAt = new ConcurrentHashMap<>();
    private final AtomicLong mOpen = new AtomicLong();
    private final LongAdder mRerouted = new LongAdder();
    private HttpClient mClient;

    /**
     * Creates a generator.
     *
     * @param prefix start of every request's id; must differ between generators
     * @param plan what to send
     * @param seed seed of the mix of requests
     */
    public LoadGenerator(String prefix, LoadPlan plan, long seed) {
        mPrefix = prefix;
        mPlan = plan;
        mRandom = new SplittableRandom(seed);
        for (Told told : Told.values()) {
            mTold.put(told, new LongAdder());
        }
    }

    /** Sends the whole plan and returns once every request has ended. */
    public LoadReport run() throws InterruptedException {
        QueuedThreadPool threads = new QueuedThreadPool(MAX_THREADS);
        ScheduledExecutorScheduler scheduler = new ScheduledExecutorScheduler("load-timer", true);
        try {
            threads.start();
            scheduler.start();
            mClient =
                    new HttpClientFactory(threads, scheduler)
                            .create(
                                    mPrefix,
                                    new HttpClientFactory.Limits(
                                            1_000, 30_000, MAX_CONNECTIONS, MAX_CONNECTIONS * 4));
            HttpClientFactory.start(mClient);
            long sent = sendAll();
            awaitAll();
            mClient.stop();
            scheduler.stop();
            threads.stop();
            return report(sent);
        } catch (InterruptedException e) {
            throw e;
        } catch (Exception e) {
            throw new IllegalStateException("load generator does not run", e);
        }
    }

    private long sendAll() {
        long total = (long) mPlan.ratePerSecond() * mPlan.seconds();
        long startNanos = System.nanoTime();
        for (long i = 0; i < total; i++) {
            long plannedNanos =
                    startNanos + i * TimeUnit.SECONDS.toNanos(1) / mPlan.ratePerSecond();
            waitUntil(plannedNanos);
            boolean order = mRandom.nextInt(ALL_PERCENT) < mPlan.orderPercent();
            Sending sending = new Sending(mPrefix + '-' + i, order, plannedNanos);
            mOpen.incrementAndGet();
            sending.sendTo((int) (i % mPlan.entries().size()), 0);
        }
        return total;
    }

    private static void waitUntil(long nanos) {
        long left = nanos - System.nanoTime();
        while (left > 0) {
            LockSupport.parkNanos(left);
            left = nanos - System.nanoTime();
        }
    }

    private void awaitAll() throws InterruptedException {
        long untilNanos =
                System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(2 * mPlan.timeoutMillis());
        while (mOpen.get() > 0 && System.nanoTime() < untilNanos) {
            TimeUnit.MILLISECONDS.sleep(SETTLE_POLL_MILLIS);
        }
    }

    private LoadReport report(long sent) {
        Map<Told, Long> told = new EnumMap<>(Told.class);
        mTold.forEach((what, count) -> told.put(what, count.sum()));
        return new LoadReport(
                sent, told, mOrders, mReasons, mBrokenAt, mRerouted.sum(), mLatency.copy());
    }

    /** One request of one caller. */
    private final class Sending {
        private final String mId;
        private final boolean mOrder;
        private final long mPlannedNanos;
        private final byte[] mBody;

        private Sending(String id, boolean order, long plannedNanos) {
            mId = id;
            mOrder = order;
            mPlannedNanos = plannedNanos;
            mBody = order ? AnswerBody.of(id, ORDER_BYTES) : new byte[0];
        }

        private String path() {
            String path = mOrder ? mPlan.orderPath() : mPlan.readPath();
            return path.replace(LoadPlan.ID, mId);
        }

        private void sendTo(int entry, int refused) {
            List<Address> entries = mPlan.entries();
            Address address = entries.get(entry % entries.size());
            Request request =
                    mClient.newRequest(address.host(), address.port())
                            .method(mOrder ? HttpMethod.POST : HttpMethod.GET)
                            .path(path())
                            .timeout(mPlan.timeoutMillis(), TimeUnit.MILLISECONDS)
                            .headers(
                                    headers -> {
                                        headers.put(StandinHeaders.REQUEST_ID, mId);
                                        headers.put(
                                                StandinHeaders.ANSWER_BYTES, mPlan.answerBytes());
                                    });
            if (mOrder) {
                request.body(new BytesRequestContent("application/octet-stream", mBody));
            }
            Listener listener = new Listener(this, entry, refused);
            request.onRequestBegin(begun -> listener.mBegun = true);
            request.send(listener);
        }

        private void ended(Told told) {
            long micros = TimeUnit.NANOSECONDS.toMicros(System.nanoTime() - mPlannedNanos);
            mLatency.recordValue(Math.min(micros, HIGHEST_MICROS));
            mTold.get(told).increment();
            if (mOrder) {
                mOrders.put(mId, told);
            }
            mOpen.decrementAndGet();
        }
    }

    /** Reads the answer of one request and checks it. */
    private final class Listener extends BufferingResponseListener {
        private final Sending mSending;
        private final int mEntry;
        private final int mRefused;
        private volatile boolean mBegun;

        private Listener(Sending sending, int entry, int refused) {
            super(MAX_BODY_BYTES);
            mSending = sending;
            mEntry = entry;
            mRefused = refused;
        }

        @Override
        public void onComplete(Result result) {
            if (result.isFailed()) {
                boolean tryNext = !mBegun && mRefused < mPlan.entries().size();
                if (tryNext) {
                    mRerouted.increment();
                    mSending.sendTo(mEntry + 1, mRefused + 1);
                } else {
                    List<Address> entries = mPlan.entries();
                    mBrokenAt.merge(entries.get(mEntry % entries.size()), 1L, Long::sum);
                    mSending.ended(Told.BROKEN);
                }
                return;
            }
            mSending.ended(toldBy(result.getResponse()));
        }

        private Told toldBy(Response response) {
            String outcome = response.getHeaders().get(HeaderNames.OUTCOME);
            if (outcome != null) {
                String reason = response.getHeaders().get(HeaderNames.REASON);
                mReasons.merge(outcome + ' ' + reason, 1L, Long::sum);
                return HeaderNames.OUTCOME_NOT_RUN.equals(outcome) ? Told.NOT_RUN : Told.UNKNOWN;
            }
            if (HttpStatus.isServerError(response.getStatus())) {
                return Told.TARGET_ERROR;
            }
            if (response.getStatus() != HttpStatus.OK_200) {
                return Told.REFUSED;
            }
            return isRight(response) ? Told.ANSWERED : Told.WRONG;
        }

        private boolean isRight(Response response) {
            byte[] expected = AnswerBody.of(mSending.mId, mPlan.answerBytes());
            String id = response.getHeaders().get(StandinHeaders.REQUEST_ID);
            CRC32 crc = new CRC32();
            crc.update(mSending.mBody);
            String bodyCrc = response.getHeaders().get(StandinHeaders.BODY_CRC);
            return mSending.mId.equals(id)
                    && Long.toHexString(crc.getValue()).equals(bodyCrc)
                    && Arrays.equals(expected, getContent() == null ? new byte[0] : getContent());
        }
    }
}

package org.apricotgauge.standin;

import java.io.IOException;
import java.util.HashMap;
import java.util.Map;
import java.util.OptionalDouble;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import org.apricotgauge.http.HttpClientFactory;
import org.apricotgauge.model.Address;
import org.apricotgauge.time.Ticker;
import org.eclipse.jetty.client.HttpClient;
import org.eclipse.jetty.util.thread.QueuedThreadPool;
import org.eclipse.jetty.util.thread.ScheduledExecutorScheduler;

/** One trial: two loads at once, a fault on the way, and the targets' own word at the end. */
final class Trial {
    private static final long SAMPLE_MILLIS = 100;
    private static final int DIRECT_SHARE = 10;
    private static final long FLEET_SEED = 11;
    private static final long DIRECT_SEED = 12;

    private final TrialCommand.Settings mSettings;
    private final Ticker mTicker = Ticker.system();

    Trial(TrialCommand.Settings settings) {
        mSettings = settings;
    }

    TrialResult run() throws IOException, InterruptedException {
        QueuedThreadPool threads = new QueuedThreadPool(8);
        ScheduledExecutorScheduler scheduler = new ScheduledExecutorScheduler("trial", true);
        HttpClient client =
                new HttpClientFactory(threads, scheduler)
                        .create("trial", new HttpClientFactory.Limits(1_000, 30_000, 4, 64));
        try {
            threads.start();
            scheduler.start();
            HttpClientFactory.start(client);
            return run(new TargetAdmin(client));
        } catch (IOException | InterruptedException e) {
            throw e;
        } catch (Exception e) {
            throw new IOException("trial does not start", e);
        } finally {
            stop(client, scheduler, threads);
        }
    }

    private static void stop(
            HttpClient client, ScheduledExecutorScheduler scheduler, QueuedThreadPool threads) {
        try {
            client.stop();
            scheduler.stop();
            threads.stop();
        } catch (Exception e) {
            throw new IllegalStateException("trial does not stop", e);
        }
    }

    private TrialResult run(TargetAdmin admin) throws IOException, InterruptedException {
        CompletableFuture<LoadReport> fleet = load("fleet", mSettings.plan(), FLEET_SEED);
        CompletableFuture<LoadReport> direct =
                mSettings.direct().isEmpty()
                        ? CompletableFuture.completedFuture(null)
                        : load("direct", directPlan(), DIRECT_SEED);
        OptionalDouble relief = watchGray(admin, fleet);
        try {
            LoadReport fleetReport = fleet.get();
            LoadReport directReport = direct.get();
            return new TrialResult(
                    fleetReport, directReport, relief, runs(admin), mSettings.killed());
        } catch (ExecutionException e) {
            throw new IOException("load failed", e);
        }
    }

    private static CompletableFuture<LoadReport> load(String prefix, LoadPlan plan, long seed) {
        LoadGenerator generator = new LoadGenerator(prefix, plan, seed);
        return CompletableFuture.supplyAsync(
                () -> {
                    try {
                        return generator.run();
                    } catch (InterruptedException e) {
                        Thread.currentThread().interrupt();
                        throw new IllegalStateException("load interrupted", e);
                    }
                });
    }

    private LoadPlan directPlan() {
        LoadPlan plan = mSettings.plan();
        return new LoadPlan(
                mSettings.direct(),
                Math.max(1, plan.ratePerSecond() / DIRECT_SHARE),
                plan.seconds(),
                0,
                plan.readPath(),
                plan.orderPath(),
                plan.answerBytes(),
                plan.timeoutMillis());
    }

    private OptionalDouble watchGray(TargetAdmin admin, CompletableFuture<LoadReport> fleet)
            throws IOException, InterruptedException {
        if (mSettings.gray().isEmpty()) {
            return OptionalDouble.empty();
        }
        Address gray = mSettings.gray().get();
        GrayWatch watch = new GrayWatch(admin, gray, mTicker);
        long startMillis = mTicker.millis();
        long afterMillis = TimeUnit.SECONDS.toMillis(mSettings.grayAfterSeconds());
        long faultMillis = -1;
        while (!fleet.isDone()) {
            watch.sample();
            if (faultMillis < 0 && mTicker.millis() - startMillis >= afterMillis) {
                admin.setFault(gray, mSettings.fault());
                faultMillis = mTicker.millis();
            }
            TimeUnit.MILLISECONDS.sleep(SAMPLE_MILLIS);
        }
        return faultMillis < 0 ? OptionalDouble.empty() : watch.secondsToRelief(faultMillis);
    }

    private Map<String, Integer> runs(TargetAdmin admin) throws IOException, InterruptedException {
        Map<String, Integer> runs = new HashMap<>();
        for (Address target : mSettings.targets()) {
            admin.runs(target).forEach((id, count) -> runs.merge(id, count, Integer::sum));
        }
        return runs;
    }
}

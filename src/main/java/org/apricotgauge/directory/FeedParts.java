package org.apricotgauge.directory;

import java.util.concurrent.Executor;
import java.util.function.Function;
import java.util.function.LongSupplier;
import java.util.random.RandomGenerator;
import org.apricotgauge.model.Address;
import org.apricotgauge.model.Checks;
import org.apricotgauge.time.Ticker;

/**
 * The dependencies of a {@link DirectoryFeed}.
 *
 * @param platform the platform
 * @param peers returns another node as a source, by the address of its guard
 * @param decoder decodes items
 * @param worker runs all tasks in sequence
 * @param ticker monotonic clock
 * @param wallMillis wall clock in milliseconds; it advances while the VM is suspended
 * @param random chooses peers and spreads queries over time
 * @param times timing of registrations at the platform
 */
public record FeedParts(
        PublishedSource platform,
        Function<Address, PublishedSource> peers,
        SiteDecoder decoder,
        Executor worker,
        Ticker ticker,
        LongSupplier wallMillis,
        RandomGenerator random,
        PlatformTimes times) {

    /** Validates the components. */
    public FeedParts {
        Checks.notNull("platform", platform);
        Checks.notNull("peers", peers);
        Checks.notNull("decoder", decoder);
        Checks.notNull("worker", worker);
        Checks.notNull("ticker", ticker);
        Checks.notNull("wallMillis", wallMillis);
        Checks.notNull("random", random);
        Checks.notNull("times", times);
    }
}

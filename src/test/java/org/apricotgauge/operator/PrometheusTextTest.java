package org.apricotgauge.operator;

import static org.assertj.core.api.Assertions.assertThat;

import com.codahale.metrics.Gauge;
import com.codahale.metrics.MetricRegistry;
import java.util.concurrent.TimeUnit;
import java.util.regex.Pattern;
import org.junit.jupiter.api.Test;

class PrometheusTextTest {
    private static final Pattern SAMPLE =
            Pattern.compile(
                    "[a-zA-Z_:][a-zA-Z0-9_:]*"
                            + "(\\{([a-zA-Z_]\\w*=\"([^\"\\\\\n]|\\\\[\\\\\"n])*\",?)+})?"
                            + " (NaN|[0-9.E+-]+)");

    private final MetricRegistry mRegistry = new MetricRegistry();

    @Test
    void everyKindIsWrittenInTheFormatAndFamiliesStandTogether() {
        mRegistry.counter("requests").inc(2);
        mRegistry.counter(MetricNames.labelled("requests", "service", "a\\b\"c\nd")).inc(3);
        mRegistry.counter("requests.more").inc(4);
        mRegistry.timer("1-wait time").update(250, TimeUnit.MILLISECONDS);
        mRegistry.histogram(MetricNames.labelled("size", "service", "x")).update(7);
        mRegistry.register("broken", (Gauge<Integer>) () -> Integer.parseInt("x"));
        mRegistry.register("text", (Gauge<String>) () -> "not a number");
        mRegistry.register("open", (Gauge<Boolean>) () -> true);

        String text = PrometheusText.write(mRegistry);

        assertThat(text.lines())
                .allSatisfy(line -> assertThat(line).matches("# TYPE .*|" + SAMPLE.pattern()));
        assertThat(text)
                .contains(
                        """
                        # TYPE apricotgauge_requests_more_total counter
                        apricotgauge_requests_more_total 4
                        # TYPE apricotgauge_requests_total counter
                        apricotgauge_requests_total 2
                        apricotgauge_requests_total{service="a\\\\b\\"c\\nd"} 3
                        """)
                .contains("apricotgauge__1_wait_time_seconds{quantile=\"0.5\"} 0.25\n")
                .contains("apricotgauge__1_wait_time_seconds_count 1\n")
                .contains("apricotgauge_size{service=\"x\",quantile=\"0.99\"} 7.0\n")
                .contains("apricotgauge_broken NaN\n", "apricotgauge_open 1\n")
                .doesNotContain("text");
    }

    @Test
    void namesThatMeetAfterSanitizingAreWrittenOnce() {
        mRegistry.register("a.b", (Gauge<Integer>) () -> 1);
        mRegistry.register("a-b", (Gauge<Integer>) () -> 2);
        mRegistry.histogram("a b").update(3);

        String text = PrometheusText.write(mRegistry);

        assertThat(text.lines().filter(line -> line.startsWith("# TYPE"))).hasSize(1);
        assertThat(text.lines().distinct()).hasSameSizeAs(text.lines().toList());
    }
}

package org.apricotgauge.operator;

import com.codahale.metrics.Counter;
import com.codahale.metrics.Gauge;
import com.codahale.metrics.Histogram;
import com.codahale.metrics.Meter;
import com.codahale.metrics.Metric;
import com.codahale.metrics.MetricRegistry;
import com.codahale.metrics.Snapshot;
import com.codahale.metrics.Timer;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * Writes a registry in the text exposition format of Prometheus, version 0.0.4.
 *
 * <p>Counters and meters become counters; Dropwizard's counters could fall, but those of this
 * project only grow, and what falls is a gauge. Histograms and timers become summaries, timers in
 * seconds. Dropwizard keeps no sum of all values, so none is given: one made from the decaying
 * sample would go down now and then.
 */
final class PrometheusText {
    private static final String PREFIX = "apricotgauge_";
    private static final double SECONDS_PER_NANO = 1e-9;
    private static final Pattern LABELLED =
            Pattern.compile(
                    "([^{]+)\\{([a-zA-Z_][a-zA-Z0-9_]*=\"(?:[^\"\\\\\n]|\\\\[\\\\\"n])*\")}");

    private final Map<String, Family> mFamilies = new TreeMap<>();
    private final Set<String> mTaken = new HashSet<>();

    private PrometheusText() {}

    static String write(MetricRegistry registry) {
        PrometheusText text = new PrometheusText();
        new TreeMap<>(registry.getMetrics()).forEach(text::add);
        StringBuilder out = new StringBuilder();
        text.mFamilies.forEach((name, family) -> family.write(name, out));
        return out.toString();
    }

    /** All metrics of one name; the format wants their lines together, under one type. */
    private record Family(String type, StringBuilder samples) {
        void write(String name, StringBuilder out) {
            out.append("# TYPE ").append(name).append(' ').append(type).append('\n');
            out.append(samples);
        }
    }

    private void add(String fullName, Metric metric) {
        Matcher matcher = LABELLED.matcher(fullName);
        boolean isLabelled = matcher.matches();
        String name = PREFIX + sanitized(isLabelled ? matcher.group(1) : fullName);
        String labels = isLabelled ? matcher.group(2) : "";
        if (metric instanceof Gauge<?> gauge) {
            addSample(name, "gauge", labels, value(gauge));
        } else if (metric instanceof Counter counter) {
            addSample(name + "_total", "counter", labels, String.valueOf(counter.getCount()));
        } else if (metric instanceof Meter meter) {
            addSample(name + "_total", "counter", labels, String.valueOf(meter.getCount()));
        } else if (metric instanceof Timer timer) {
            Summary summary = new Summary(timer.getSnapshot(), timer.getCount(), SECONDS_PER_NANO);
            addSummary(name + "_seconds", labels, summary);
        } else if (metric instanceof Histogram histogram) {
            addSummary(name, labels, new Summary(histogram.getSnapshot(), histogram.getCount(), 1));
        }
    }

    private record Summary(Snapshot snapshot, long count, double factor) {}

    private void addSample(String name, String type, String labels, String value) {
        if (value.isEmpty()) {
            return;
        }
        StringBuilder samples = samples(name, type, labels);
        if (samples != null) {
            append(samples, name, labels, value);
        }
    }

    private void addSummary(String name, String labels, Summary summary) {
        StringBuilder samples = samples(name, "summary", labels);
        if (samples == null) {
            return;
        }
        for (double quantile : new double[] {0.5, 0.9, 0.99, 0.999}) {
            String separator = labels.isEmpty() ? "" : ",";
            String all = labels + separator + "quantile=\"" + quantile + '"';
            double value = summary.snapshot().getValue(quantile) * summary.factor();
            append(samples, name, all, String.valueOf(value));
        }
        append(samples, name + "_count", labels, String.valueOf(summary.count()));
    }

    /**
     * Returns where the samples of a family go, or null if its name is taken.
     *
     * <p>Two names that differ only in dots and hyphens may meet here; Prometheus refuses a scrape
     * with two types of one name as a whole, so that the second is left to {@code /metrics.json}.
     */
    private StringBuilder samples(String name, String type, String labels) {
        if (!mTaken.add(name + '{' + labels)) {
            return null;
        }
        Family family =
                mFamilies.computeIfAbsent(name, key -> new Family(type, new StringBuilder()));
        return family.type().equals(type) ? family.samples() : null;
    }

    private static void append(StringBuilder out, String name, String labels, String value) {
        out.append(name);
        if (!labels.isEmpty()) {
            out.append('{').append(labels).append('}');
        }
        out.append(' ').append(value).append('\n');
    }

    private static String value(Gauge<?> gauge) {
        try {
            Object value = gauge.getValue();
            if (value instanceof Boolean isTrue) {
                return isTrue ? "1" : "0";
            }
            return value instanceof Number number ? String.valueOf(number) : "";
        } catch (RuntimeException e) {
            // One broken gauge must not hide all other metrics.
            return "NaN";
        }
    }

    static String sanitized(String name) {
        String safe = name.replaceAll("[^a-zA-Z0-9_]", "_");
        return Character.isDigit(safe.charAt(0)) ? '_' + safe : safe;
    }

    static String escaped(String value) {
        return value.replace("\\", "\\\\").replace("\"", "\\\"").replace("\n", "\\n");
    }
}

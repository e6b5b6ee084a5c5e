package org.apricotgauge.operator;

import org.apricotgauge.model.Checks;

/**
 * Names of metrics with a label, which Dropwizard Metrics has no notion of.
 *
 * <pre>{@code
 * registry.meter(MetricNames.labelled("caller.requests", "service", "roster")).mark();
 * // caller.requests{service="roster"}
 * }</pre>
 */
public final class MetricNames {

    private MetricNames() {}

    /**
     * Returns a name that {@code /metrics} shows as a metric with one label.
     *
     * @param name lower case words with dots
     * @param label name of the label
     * @param value value of the label; any text
     */
    public static String labelled(String name, String label, String value) {
        Checks.notBlank("name", name);
        Checks.notBlank("label", label);
        Checks.notNull("value", value);
        return name
                + '{'
                + PrometheusText.sanitized(label)
                + "=\""
                + PrometheusText.escaped(value)
                + "\"}";
    }
}

package io.figspan.core.metrics;

import com.codahale.metrics.Counter;
import com.codahale.metrics.Gauge;
import com.codahale.metrics.Metric;
import com.codahale.metrics.MetricRegistry;
import com.codahale.metrics.Snapshot;
import com.codahale.metrics.Timer;
import java.util.Map;
import java.util.concurrent.TimeUnit;

/** Formats the metrics of a registry in the Prometheus text exposition format 0.0.4, with durations in seconds. */
public final class PrometheusText {
    public static final String MEDIA_TYPE = "text/plain; version=0.0.4";

    private static final double NANOS_PER_SECOND = TimeUnit.SECONDS.toNanos(1);

    private PrometheusText() {}

    /** Formats the counters, gauges and timers, sorted by name; other metrics are left out. */
    public static String of(MetricRegistry metrics) {
        StringBuilder text = new StringBuilder();
        for (Map.Entry<String, Metric> entry : metrics.getMetrics().entrySet()) {
            String name = "figspan_" + entry.getKey().replace('.', '_');
            if (entry.getValue() instanceof Counter counter) {
                appendSample(text, name + "_total", "counter", counter.getCount());
            } else if (entry.getValue() instanceof Gauge<?> gauge) {
                appendSample(text, name, "gauge", gauge.getValue());
            } else if (entry.getValue() instanceof Timer timer) {
                appendSummary(text, name + "_seconds", timer);
            }
        }
        return text.toString();
    }

    private static void appendSample(StringBuilder text, String name, String type, Object value) {
        text.append("# TYPE ").append(name).append(' ').append(type).append('\n');
        text.append(name).append(' ').append(value).append('\n');
    }

    private static void appendSummary(StringBuilder text, String name, Timer timer) {
        Snapshot snapshot = timer.getSnapshot();
        text.append("# TYPE ").append(name).append(" summary\n");
        appendQuantile(text, name, "0.5", snapshot.getMedian());
        appendQuantile(text, name, "0.95", snapshot.get95thPercentile());
        appendQuantile(text, name, "0.99", snapshot.get99thPercentile());
        text.append(name).append("_count ").append(timer.getCount()).append('\n');
    }

    private static void appendQuantile(StringBuilder text, String name, String quantile, double nanos) {
        text.append(name)
                .append("{quantile=\"")
                .append(quantile)
                .append("\"} ")
                .append(nanos / NANOS_PER_SECOND)
                .append('\n');
    }
}

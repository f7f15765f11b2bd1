package io.figspan.core.metrics;

import com.codahale.metrics.Counter;
import com.codahale.metrics.Gauge;
import com.codahale.metrics.Metric;
import com.codahale.metrics.MetricRegistry;
import com.codahale.metrics.Snapshot;
import com.codahale.metrics.Timer;
import java.util.Map;
import java.util.concurrent.TimeUnit;

/** Writes the metrics of a registry in the Prometheus text exposition format 0.0.4, with times in seconds. */
public final class PrometheusText {
    /** Media type of the text. */
    public static final String MEDIA_TYPE = "text/plain; version=0.0.4";

    private static final double NANOS_PER_SECOND = TimeUnit.SECONDS.toNanos(1);

    private PrometheusText() {}

    /** Counters, gauges and timers, in the order of their names. */
    public static String of(MetricRegistry metrics) {
        StringBuilder text = new StringBuilder();
        for (Map.Entry<String, Metric> entry : metrics.getMetrics().entrySet()) {
            String name = "figspan_" + entry.getKey().replace('.', '_');
            if (entry.getValue() instanceof Counter counter) {
                sample(text, name + "_total", "counter", counter.getCount());
            } else if (entry.getValue() instanceof Gauge<?> gauge) {
                sample(text, name, "gauge", gauge.getValue());
            } else if (entry.getValue() instanceof Timer timer) {
                summary(text, name + "_seconds", timer);
            }
        }
        return text.toString();
    }

    private static void sample(StringBuilder text, String name, String type, Object value) {
        text.append("# TYPE ").append(name).append(' ').append(type).append('\n');
        text.append(name).append(' ').append(value).append('\n');
    }

    private static void summary(StringBuilder text, String name, Timer timer) {
        Snapshot snapshot = timer.getSnapshot();
        text.append("# TYPE ").append(name).append(" summary\n");
        quantile(text, name, "0.5", snapshot.getMedian());
        quantile(text, name, "0.95", snapshot.get95thPercentile());
        quantile(text, name, "0.99", snapshot.get99thPercentile());
        text.append(name).append("_count ").append(timer.getCount()).append('\n');
    }

    private static void quantile(StringBuilder text, String name, String quantile, double nanos) {
        text.append(name)
                .append("{quantile=\"")
                .append(quantile)
                .append("\"} ")
                .append(nanos / NANOS_PER_SECOND)
                .append('\n');
    }
}

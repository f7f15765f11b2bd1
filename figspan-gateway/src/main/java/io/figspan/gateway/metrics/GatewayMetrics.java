package io.figspan.gateway.metrics;

import com.codahale.metrics.Counter;
import com.codahale.metrics.Gauge;
import com.codahale.metrics.MetricRegistry;
import com.codahale.metrics.SlidingWindowReservoir;
import com.codahale.metrics.Timer;
import io.figspan.core.metrics.PrometheusText;
import java.util.Locale;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;

/** What the gateway counts and measures. One thread writes; any thread may read the text. */
public final class GatewayMetrics {
    /** Latencies that a quantile is taken over: those of the last minute of a busy host. */
    private static final int WINDOW = 512;

    private final MetricRegistry registry = new MetricRegistry();
    private final ProcessorTime processorTime = ProcessorTime.ofCallingThread();
    private final Timer firstPiece = timer("first.piece");
    private final Timer wholeAnswer = timer("whole.answer");
    private final Timer placement = timer("placement.wait");

    /** How a request ended for its caller. */
    public enum RequestEnd {
        ANSWERED,
        FAILED_BY_SERVER,
        REFUSED,
        BROKEN_OFF,
        CALLER_LEFT
    }

    private Timer timer(String name) {
        return registry.timer(name, () -> new Timer(new SlidingWindowReservoir(WINDOW)));
    }

    /** What the event loop spends its time on. */
    public ProcessorTime processorTime() {
        return processorTime;
    }

    /** A request has ended; {@code nanos} is the time since it was received. */
    public void requestEnded(RequestEnd end, long nanos) {
        counter("requests." + end.name().toLowerCase(Locale.ROOT)).inc();
        if (end == RequestEnd.ANSWERED) {
            wholeAnswer.update(nanos, TimeUnit.NANOSECONDS);
        }
    }

    /** The first piece of an answer was passed on. */
    public void firstPiece(long nanos) {
        firstPiece.update(nanos, TimeUnit.NANOSECONDS);
    }

    /** A request was sent to a backend server after it had waited for a place. */
    public void sent(long waitedNanos) {
        counter("attempts.sent").inc();
        placement.update(waitedNanos, TimeUnit.NANOSECONDS);
    }

    /** A sending ended without an answer that could be passed on. */
    public void attemptFailed(String end) {
        counter("attempts." + end.toLowerCase(Locale.ROOT)).inc();
    }

    /** Something else happened that is only counted. */
    public void count(String name) {
        counter(name).inc();
    }

    /** A value that is read when the text is written. */
    public void gauge(String name, LongSupplier value) {
        Gauge<Long> gauge = value::getAsLong;
        registry.register(name, gauge);
    }

    private Counter counter(String name) {
        return registry.counter(name);
    }

    /** All metrics in the text exposition format. */
    public String text() {
        return PrometheusText.of(registry);
    }
}

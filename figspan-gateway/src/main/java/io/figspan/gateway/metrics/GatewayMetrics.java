package io.figspan.gateway.metrics;

import com.codahale.metrics.Counter;
import com.codahale.metrics.Gauge;
import com.codahale.metrics.MetricRegistry;
import com.codahale.metrics.SlidingWindowReservoir;
import com.codahale.metrics.Timer;
import io.figspan.core.metrics.PrometheusText;
import io.figspan.wire.http.MessagePart;
import java.util.Locale;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;

/** Counters, gauges and latencies of the gateway. One thread writes; any thread may read the text. */
public final class GatewayMetrics {
    /** Counter of requests that were placed again because a zone was evacuated or restored. */
    public static final String PLACED_AGAIN = "requests.placed.again";

    /** Number of latencies that a quantile is taken over: those of the last minute of a busy host. */
    private static final int RESERVOIR_SIZE = 512;

    private final MetricRegistry registry = new MetricRegistry();
    private final ProcessorTime processorTime = ProcessorTime.ofCallingThread();
    private final Timer firstByte = timer("first.piece");
    private final Timer completeResponse = timer("whole.answer");
    private final Timer placementWait = timer("placement.wait");

    /** Outcome of a request, as seen by its caller. */
    public enum RequestEnd {
        ANSWERED,
        FAILED_BY_SERVER,
        REFUSED,
        BROKEN_OFF,
        CALLER_LEFT
    }

    private Timer timer(String name) {
        return registry.timer(name, () -> new Timer(new SlidingWindowReservoir(RESERVOIR_SIZE)));
    }

    /** Processor time of the event loop by activity. */
    public ProcessorTime processorTime() {
        return processorTime;
    }

    /** Records the outcome of a request; {@code nanos} is the time since it was received. */
    public void requestEnded(RequestEnd end, long nanos) {
        counter("requests." + end.name().toLowerCase(Locale.ROOT)).inc();
        if (end == RequestEnd.ANSWERED) {
            completeResponse.update(nanos, TimeUnit.NANOSECONDS);
        }
    }

    /** Records the time from the receipt of a request to the first part of a response that was passed on. */
    public void firstByte(long nanos) {
        firstByte.update(nanos, TimeUnit.NANOSECONDS);
    }

    /** Records that a request was sent to a backend server, and how long it waited for placement. */
    public void sent(long waitedNanos) {
        counter("attempts.sent").inc();
        placementWait.update(waitedNanos, TimeUnit.NANOSECONDS);
    }

    /** Records an attempt that ended without a response that could be passed on. */
    public void attemptFailed(String end) {
        counter("attempts." + end.toLowerCase(Locale.ROOT)).inc();
    }

    /** Records a response that ended before it was complete, by the way in which its connection ended. */
    public void incompleteResponse(String reason) {
        counter("responses.incomplete." + reason.toLowerCase(Locale.ROOT)).inc();
    }

    /** Records bytes of a backend server that are no HTTP response, by the part that shows it. */
    public void invalidResponse(MessagePart part) {
        counter("responses.invalid." + part.name().toLowerCase(Locale.ROOT)).inc();
    }

    /** Increments a counter. */
    public void count(String name) {
        counter(name).inc();
    }

    /** Adds to a counter. */
    public void count(String name, long amount) {
        counter(name).inc(amount);
    }

    /** Registers a gauge that is evaluated when the text is written. */
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

package io.figspan.gateway.forward;

import io.figspan.core.event.Part;
import io.figspan.gateway.log.DecisionLog;
import io.figspan.gateway.metrics.GatewayMetrics;
import io.figspan.policy.drain.DurationEstimate;

/**
 * Log lines and metrics of the decisions on single requests during a planned stop. The lines of refused and interrupted
 * requests don't share the rate limit of ordinary events.
 */
final class DrainLog {
    private final DecisionLog log;
    private final GatewayMetrics metrics;

    /**
     * The time of a decision.
     *
     * @param sinceSignalMs time since the signal to stop
     * @param leftMs time until the last answers are due
     * @param inProgress number of connections whose answers are not written yet
     */
    record Timing(long sinceSignalMs, long leftMs, long inProgress) {}

    DrainLog(DecisionLog log, GatewayMetrics metrics) {
        this.log = log;
        this.metrics = metrics;
    }

    /** A request is sent to a server, since it is expected to end in time. */
    void sent(String requestId, DurationEstimate estimate, Timing timing) {
        metrics.count("stop.sent");
        describe(log.info(Part.ENTRY, "sentDuringStop").text("request", requestId), timing, estimate)
                .write();
    }

    /** A request that has not run is refused. */
    void refused(String requestId, DurationEstimate estimate, Timing timing) {
        metrics.count("stop.refused");
        describe(refusal(requestId), timing, estimate).write();
    }

    /** A request that has not run is refused, whatever it would take. */
    void refused(String requestId, Timing timing) {
        metrics.count("stop.refused");
        describe(refusal(requestId), timing).write();
    }

    private DecisionLog.Line refusal(String requestId) {
        return log.lifecycle(Part.ENTRY, "refusedByStop").text("request", requestId);
    }

    /** A request that a server has is ended. */
    void interrupted(String requestId, long ageMs, DurationEstimate estimate, Timing timing) {
        metrics.count("stop.interrupted");
        DecisionLog.Line line = log.lifecycle(Part.ENTRY, "interruptedByStop")
                .text("request", requestId)
                .number("afterMs", ageMs);
        describe(line, timing, estimate).write();
    }

    private static DecisionLog.Line describe(DecisionLog.Line line, Timing timing, DurationEstimate estimate) {
        return describe(line, timing)
                .number("expectedMs", estimate.expectedMs())
                .text("basis", estimate.basis().wireName());
    }

    private static DecisionLog.Line describe(DecisionLog.Line line, Timing timing) {
        return line.number("sinceSignalMs", timing.sinceSignalMs())
                .number("leftMs", timing.leftMs())
                .number("busy", timing.inProgress());
    }
}

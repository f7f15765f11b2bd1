package io.figspan.gateway.log;

import io.figspan.core.event.Part;
import io.figspan.gateway.metrics.GatewayMetrics;

/** Where errors go that are faults of this program: each is counted and logged with its place, and costs no more. */
public record UnexpectedErrors(DecisionLog log, GatewayMetrics metrics) {
    public void report(Throwable error) {
        metrics.count("errors.unexpected");
        log.warn(Part.ENTRY, "unexpectedError")
                .text("reason", error)
                .text("stack", StackTraceSummary.of(error))
                .write();
    }
}

package io.figspan.gateway.log;

import io.figspan.core.event.Part;
import io.figspan.gateway.metrics.GatewayMetrics;

/** Counts and logs exceptions that are faults of this program, with their stack; it does not rethrow them. */
public record UnexpectedErrors(DecisionLog log, GatewayMetrics metrics) {
    public void report(Throwable error) {
        metrics.count("errors.unexpected");
        log.warn(Part.ENTRY, "unexpectedError")
                .text("reason", error)
                .text("stack", StackTraceSummary.of(error))
                .write();
    }
}

package io.figspan.gateway.forward;

import io.figspan.core.event.Part;
import io.figspan.core.id.ServiceId;
import io.figspan.gateway.log.DecisionLog;
import io.figspan.gateway.metrics.GatewayMetrics;
import io.figspan.policy.placing.ShareChange;

/** Writes the log events and metrics of organisations that are limited to their share of a service. */
final class ShareLog {
    private final DecisionLog log;
    private final GatewayMetrics metrics;
    private long limited;

    ShareLog(DecisionLog log, GatewayMetrics metrics) {
        this.log = log;
        this.metrics = metrics;
        metrics.gauge("organisations.limited", () -> limited);
    }

    void changed(ServiceId service, ShareChange change) {
        if (change.isLimited()) {
            limited++;
            log.info(Part.ENTRY, "organisationLimited")
                    .text("service", service)
                    .text("organisation", change.organisation())
                    .write();
            return;
        }
        limited--;
        metrics.count("shares.heldBack", change.heldBack());
        metrics.count("shares.refused", change.refused());
        log.info(Part.ENTRY, "organisationLimitEnded")
                .text("service", service)
                .text("organisation", change.organisation())
                .number("heldBack", change.heldBack())
                .number("refused", change.refused())
                .write();
    }
}

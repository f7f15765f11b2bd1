package io.figspan.gateway;

import io.figspan.core.event.Part;
import io.figspan.gateway.log.DecisionLog;
import io.figspan.gateway.log.StackText;
import io.figspan.gateway.metrics.GatewayMetrics;

/**
 * A repeated task that goes on after an unexpected error of one run: a scheduler drops a task that throws. Errors of
 * the virtual machine are not caught.
 */
record GuardedTask(Runnable task, DecisionLog log, GatewayMetrics metrics) implements Runnable {
    @Override
    public void run() {
        try {
            task.run();
        } catch (RuntimeException e) {
            metrics.count("errors.unexpected");
            log.warn(Part.ENTRY, "unexpectedError")
                    .text("reason", e)
                    .text("stack", StackText.of(e))
                    .write();
        }
    }
}

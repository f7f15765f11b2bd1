package io.figspan.gateway;

import static org.junit.jupiter.api.Assertions.assertDoesNotThrow;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.figspan.gateway.log.DecisionLog;
import io.figspan.gateway.log.UnexpectedErrors;
import io.figspan.gateway.metrics.GatewayMetrics;
import org.junit.jupiter.api.Test;

/** Guards against a host that keeps running without its timers after one unexpected exception. */
class GuardedTaskTest {
    private final GatewayMetrics metrics = new GatewayMetrics();

    private GuardedTask guarded(Runnable task) {
        return new GuardedTask(task, new UnexpectedErrors(new DecisionLog(), metrics));
    }

    @Test
    void anUnexpectedErrorIsCountedAndDoesNotReachTheScheduler() {
        GuardedTask failing = guarded(() -> {
            throw new IllegalStateException("unexpected");
        });

        assertDoesNotThrow(failing::run);

        assertTrue(metrics.text().contains("errors_unexpected"), metrics.text());
    }

    @Test
    void anErrorOfTheVirtualMachineIsNotCaught() {
        GuardedTask failing = guarded(() -> {
            throw new OutOfMemoryError("test");
        });

        assertThrows(OutOfMemoryError.class, failing::run);
    }
}

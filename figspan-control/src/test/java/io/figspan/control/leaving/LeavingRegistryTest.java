package io.figspan.control.leaving;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.figspan.core.chart.StateChart;
import io.figspan.core.id.BackendIncarnation;
import io.figspan.core.id.BackendServerId;
import org.junit.jupiter.api.Test;

class LeavingRegistryTest {
    private final LeavingRegistry registry = new LeavingRegistry(2);

    /** Guards against a stale host list that returns a leaving backend server to use. */
    @Test
    void aProcessKnownToLeaveStaysLeavingAndItsSuccessorIsLive() {
        assertTrue(registry.onLeaving(process("e1", 5), LeavingSource.REFUSAL, 0));
        assertFalse(registry.onLeaving(process("e1", 5), LeavingSource.GOSSIP, 1));
        assertFalse(registry.mayTakeNewWork(process("e1", 5)));
        assertTrue(registry.mayTakeNewWork(process("e1", 6)));
        assertFalse(registry.onLeaving(process("e1", 4), LeavingSource.LIST, 2));
        assertFalse(registry.mayTakeNewWork(process("e1", 5)));
    }

    @Test
    void aFullRegistryEvictsTheOldestEntryAndCountsIt() {
        registry.onLeaving(process("e1", 1), LeavingSource.LIST, 0);
        registry.onLeaving(process("e2", 1), LeavingSource.LIST, 1);
        registry.onLeaving(process("e3", 1), LeavingSource.LIST, 2);
        assertEquals(java.util.List.of(process("e2", 1), process("e3", 1)), registry.leaving());
        assertEquals(1, registry.droppedCount());
    }

    @Test
    void theBackendServerChartNeverGoesFromLeavingToLive() {
        StateChart<BackendState, BackendEvent> chart =
                StateChart.load("/charts/backend-server.toml", BackendState.class, BackendEvent.class);
        for (BackendEvent event : BackendEvent.values()) {
            if (chart.changesState(BackendState.LEAVING, event)) {
                assertEquals(BackendEvent.REPLACED, event);
            }
        }
    }

    private static BackendIncarnation process(String server, long number) {
        return new BackendIncarnation(BackendServerId.of(server), number);
    }
}

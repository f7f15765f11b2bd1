package io.figspan.host.backend;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.figspan.core.id.AvailabilityZoneId;
import io.figspan.core.id.BackendServerId;
import io.figspan.core.id.HostId;
import io.figspan.policy.placement.EngineSpeed;
import io.figspan.settings.FleetList;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;

class BackendTableTest {
    private static final EngineSpeed SPEED = new EngineSpeed(40_000, 512, 20_000_000, 400_000);
    private static final String REPORT = "i=1;s=1;b=0;d=0;u=0;t=400000";

    /**
     * Guards against new work for an engine that left while this host was paused or cut off, while the list still
     * calls it live.
     */
    @Test
    void anEngineThatWasNotHeardFromLatelyGetsNoNewWorkUntilItsNextReport() {
        BackendTable table = table(1);
        BackendTable.Server engine = table.engines().get(0);
        assertFalse(engine.takesNewWork());
        table.onCompactReport(engine, REPORT, seconds(10));
        assertTrue(engine.takesNewWork());
        table.refreshAges(seconds(12));
        assertTrue(engine.takesNewWork());
        table.refreshAges(seconds(13));
        assertFalse(engine.takesNewWork());
        assertTrue(table.loads().get(engine.id()).leaving());
        table.onCompactReport(engine, REPORT.replace("s=1", "s=2"), seconds(14));
        assertTrue(engine.takesNewWork());
    }

    /** Guards against engines that no host uses because each host takes the first ones of the list. */
    @Test
    void eachHostUsesABoundedSubsetThatDiffersBetweenHosts() {
        BackendTable first = table(100);
        BackendTable second = new BackendTable(HostId.of("host-2"), SPEED);
        second.update(engines(100));
        assertEquals(24, first.engines().size());
        assertEquals(100, first.engineCount());
        assertFalse(first.engines().stream()
                .map(BackendTable.Server::id)
                .toList()
                .equals(second.engines().stream().map(BackendTable.Server::id).toList()));
    }

    private static BackendTable table(int engines) {
        BackendTable table = new BackendTable(HostId.of("host-1"), SPEED);
        table.update(engines(engines));
        return table;
    }

    private static List<FleetList.BackendServer> engines(int count) {
        List<FleetList.BackendServer> engines = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            engines.add(new FleetList.BackendServer(
                    BackendServerId.of("engine-" + i),
                    FleetList.BackendKind.MODEL_ENGINE,
                    List.of(),
                    "127.0.0.1",
                    8_000 + i,
                    AvailabilityZoneId.of("az-" + i % 3),
                    1,
                    FleetList.LiveState.LIVE));
        }
        return engines;
    }

    private static long seconds(long seconds) {
        return TimeUnit.SECONDS.toNanos(seconds);
    }
}

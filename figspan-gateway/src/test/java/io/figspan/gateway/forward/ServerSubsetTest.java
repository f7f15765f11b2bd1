package io.figspan.gateway.forward;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.figspan.core.id.BackendServerId;
import io.figspan.core.id.HostId;
import io.figspan.core.work.PlacedRequest;
import io.figspan.policy.cell.CellPlan;
import io.figspan.policy.placing.Placer.AvailableServer;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;

/** Guards against work reports that do not reach every host that shares a server with this one. */
class ServerSubsetTest {
    private static final HostId SELF = HostId.of("h0");

    private final Set<HostId> hosts =
            IntStream.range(0, 30).mapToObj(i -> HostId.of("h" + i)).collect(Collectors.toSet());
    private final List<BackendServerId> engines =
            IntStream.range(0, 80).mapToObj(i -> BackendServerId.of("e" + i)).toList();
    private final CellPlan plan = CellPlan.divide(hosts, engines);
    private final ServerSubset subset = new ServerSubset.OwnCell(SELF, hosts);

    private static PlacedRequest workAt(BackendServerId engine) {
        return new PlacedRequest(1, engine, List.of(), 1_000, 100, 0, 5, 300, 250);
    }

    private BackendServerId engine(boolean isInCell) {
        return engines.stream()
                .filter(engine -> plan.mayUse(SELF, engine) == isInCell)
                .findFirst()
                .orElseThrow();
    }

    private void selectEngines() {
        subset.select(engines.stream().map(id -> new AvailableServer(id, 4)).toList(), hosts);
    }

    @Test
    void workWithinTheCellIsReportedToItsHosts() {
        selectEngines();

        assertEquals(plan.hostsInCellOf(SELF), subset.reportRecipients(List.of(workAt(engine(true)))));
        assertEquals(plan.hostsInCellOf(SELF), subset.reportRecipients(List.of()));
    }

    @Test
    void workThatRemainsInAnotherCellIsAlsoReportedToItsHosts() {
        selectEngines();
        BackendServerId outside = engine(false);

        Set<HostId> hostsOfBothCells = new HashSet<>(plan.hostsInCellOf(SELF));
        hostsOfBothCells.addAll(plan.hostsUsing(outside));
        assertEquals(hostsOfBothCells, subset.reportRecipients(List.of(workAt(engine(true)), workAt(outside))));
        assertTrue(hostsOfBothCells.size() > plan.hostsInCellOf(SELF).size());
    }
}

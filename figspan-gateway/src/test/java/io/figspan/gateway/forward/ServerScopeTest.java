package io.figspan.gateway.forward;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.figspan.core.id.BackendServerId;
import io.figspan.core.id.HostId;
import io.figspan.core.work.PlacedRequest;
import io.figspan.policy.cell.CellPlan;
import io.figspan.policy.placing.Placer.ServerSeat;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;

class ServerScopeTest {
    private static final HostId SELF = HostId.of("h0");

    private final Set<HostId> hosts =
            IntStream.range(0, 30).mapToObj(i -> HostId.of("h" + i)).collect(Collectors.toSet());
    private final List<BackendServerId> engines =
            IntStream.range(0, 80).mapToObj(i -> BackendServerId.of("e" + i)).toList();
    private final CellPlan plan = CellPlan.divide(hosts, engines);
    private final ServerScope scope = new ServerScope.OwnCell(SELF, hosts);

    private static PlacedRequest workAt(BackendServerId engine) {
        return new PlacedRequest(1, engine, List.of(), 1_000, 100, 0, 5, 300, 250);
    }

    private BackendServerId engine(boolean inCell) {
        return engines.stream()
                .filter(engine -> plan.mayUse(SELF, engine) == inCell)
                .findFirst()
                .orElseThrow();
    }

    private void choose() {
        scope.choose(engines.stream().map(id -> new ServerSeat(id, 4)).toList(), hosts);
    }

    @Test
    void workWithinTheCellConcernsItsHosts() {
        choose();

        assertEquals(plan.hostsWith(SELF), scope.audience(List.of(workAt(engine(true)))));
        assertEquals(plan.hostsWith(SELF), scope.audience(List.of()));
    }

    @Test
    void workThatWasLeftInAnotherCellConcernsItsHostsToo() {
        choose();
        BackendServerId elsewhere = engine(false);

        Set<HostId> both = new HashSet<>(plan.hostsWith(SELF));
        both.addAll(plan.hostsAt(elsewhere));
        assertEquals(both, scope.audience(List.of(workAt(engine(true)), workAt(elsewhere))));
        assertTrue(both.size() > plan.hostsWith(SELF).size());
    }
}

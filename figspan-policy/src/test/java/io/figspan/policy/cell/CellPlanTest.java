package io.figspan.policy.cell;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.figspan.core.id.BackendServerId;
import io.figspan.core.id.HostId;
import java.util.ArrayList;
import java.util.Collections;
import java.util.HashSet;
import java.util.List;
import java.util.Random;
import java.util.Set;
import java.util.function.IntFunction;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;

/** Guards against cells that omit members, differ in size, or move many members when one joins or leaves. */
class CellPlanTest {
    /** Maximum difference between the size of a cell and the mean, in members. */
    private static final int MAX_SIZE_DIFFERENCE = 1;

    private static <T> List<T> named(int count, IntFunction<T> name) {
        return new ArrayList<>(IntStream.range(0, count).mapToObj(name).toList());
    }

    private static List<HostId> hosts(int count) {
        return named(count, i -> HostId.of("host-" + i));
    }

    private static List<BackendServerId> engines(int count) {
        return named(count, i -> BackendServerId.of("engine-" + i));
    }

    @Test
    void aSmallFleetIsOneCell() {
        CellPlan plan = CellPlan.divide(hosts(7), engines(21));

        assertEquals(1, plan.count());
        for (BackendServerId engine : engines(21)) {
            assertTrue(plan.mayUse(HostId.of("host-3"), engine));
        }
    }

    @Test
    void hostsAndEnginesAreDividedEvenly() {
        for (int[] fleet : new int[][] {{95, 172}, {75, 60}, {73, 69}, {400, 630}}) {
            List<HostId> hosts = hosts(fleet[0]);
            List<BackendServerId> engines = engines(fleet[1]);
            CellPlan plan = CellPlan.divide(hosts, engines);
            for (HostId host : hosts) {
                long usable = engines.stream()
                        .filter(engine -> plan.mayUse(host, engine))
                        .count();
                assertEquals((double) fleet[1] / plan.count(), (double) usable, MAX_SIZE_DIFFERENCE);
                assertEquals(
                        (double) fleet[0] / plan.count(),
                        plan.hostsInCellOf(host).size(),
                        MAX_SIZE_DIFFERENCE);
            }
            for (BackendServerId engine : engines) {
                assertTrue(!plan.hostsUsing(engine).isEmpty(), engine + " has no host");
            }
        }
    }

    @Test
    void thePlanDoesNotDependOnTheOrderOfTheMembers() {
        List<HostId> hosts = hosts(95);
        List<BackendServerId> engines = engines(172);
        CellPlan plan = CellPlan.divide(hosts, engines);
        Collections.shuffle(hosts, new Random(1));
        Collections.shuffle(engines, new Random(2));
        CellPlan other = CellPlan.divide(hosts, engines);

        for (HostId host : hosts) {
            assertEquals(plan.hostsInCellOf(host), other.hostsInCellOf(host));
        }
        for (BackendServerId engine : engines) {
            assertEquals(plan.hostsUsing(engine), other.hostsUsing(engine));
        }
    }

    @Test
    void anEngineThatLeavesMovesAtMostOneOtherAcrossEachBoundary() {
        List<HostId> hosts = hosts(95);
        List<BackendServerId> engines = engines(172);
        CellPlan before = CellPlan.divide(hosts, engines);
        for (int index = 0; index < engines.size(); index++) {
            List<BackendServerId> remaining = new ArrayList<>(engines);
            remaining.remove(index);
            CellPlan after = CellPlan.divide(hosts, remaining);
            long moved = remaining.stream()
                    .filter(engine -> !before.hostsUsing(engine).equals(after.hostsUsing(engine)))
                    .count();
            assertTrue(moved < before.count(), moved + " engines moved");
        }
    }

    @Test
    void theHostsThatUseAnEngineAreThoseOfItsCell() {
        CellPlan plan = CellPlan.divide(hosts(95), engines(172));
        for (BackendServerId engine : engines(172)) {
            Set<HostId> users = new HashSet<>();
            hosts(95).stream().filter(host -> plan.mayUse(host, engine)).forEach(users::add);
            assertEquals(plan.hostsUsing(engine), users);
        }
    }

    @Test
    void noCellHasTooFewHosts() {
        assertEquals(1, CellPlan.divide(hosts(5), engines(172)).count());
        assertEquals(3, CellPlan.divide(hosts(9), engines(172)).count());
    }
}

package io.figspan.control.steward;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.figspan.core.id.AvailabilityZoneId;
import io.figspan.core.id.BackendIncarnation;
import io.figspan.core.id.BackendServerId;
import io.figspan.core.id.HostId;
import io.figspan.core.id.ModelId;
import io.figspan.core.id.SettingsVersion;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;

class ModelReconcilerTest {
    private static final SettingsVersion V5 = new SettingsVersion(5);
    private static final HostId SELF = HostId.of("h1");
    private static final List<ModelShare> SHARES = List.of(ModelShare.of("large", 2), ModelShare.of("small", 1));
    private static final ModelId LARGE = ModelId.of("large");
    private static final ModelId OLD = ModelId.of("old");
    private static final BackendIncarnation ENGINE = new BackendIncarnation(BackendServerId.of("e1"), 1);
    private static final ModelPlan ONE = ModelPlan.compute(V5, List.of(SHARES.get(0)), List.of(planned(1)));
    private static final FleetView VIEW = new FleetView(V5, List.of(SELF), Set.of(), 0);

    @Test
    void quotasFollowTheSharesAndTheOrderOfTheListsDoesNotMatter() {
        List<PlannedEngine> engines = engines(21);
        ModelPlan plan = ModelPlan.compute(V5, SHARES, engines);
        assertEquals(14, count(plan, LARGE));
        List<PlannedEngine> reversed = new ArrayList<>(engines);
        java.util.Collections.reverse(reversed);
        assertEquals(plan, ModelPlan.compute(V5, List.of(SHARES.get(1), SHARES.get(0)), reversed));
    }

    @Test
    void aModelOfTinyShareStillGetsOneEngine() {
        List<ModelShare> shares = List.of(ModelShare.of("large", 100), ModelShare.of("tiny", 0.1));
        assertEquals(1, count(ModelPlan.compute(V5, shares, engines(20)), ModelId.of("tiny")));
    }

    /** Guards against a plan that reassigns many engines when one engine joins or leaves. */
    @Test
    void removingAnEngineReassignsFarFewerEnginesThanPartitioningByIndex() {
        List<PlannedEngine> engines = engines(60);
        ModelPlan before = ModelPlan.compute(V5, SHARES, engines);
        int reassigned = 0;
        int movedByIndex = 0;
        for (int removed = 0; removed < engines.size(); removed++) {
            List<PlannedEngine> remaining = new ArrayList<>(engines);
            remaining.remove(removed);
            ModelPlan after = ModelPlan.compute(V5, SHARES, remaining);
            for (int i = 0; i < remaining.size(); i++) {
                BackendServerId engine = remaining.get(i).engine();
                reassigned += before.assignment(engine).equals(after.assignment(engine)) ? 0 : 1;
                int oldIndex = engines.indexOf(remaining.get(i));
                movedByIndex += oldIndex % 3 == i % 3 ? 0 : 1;
            }
        }
        assertTrue(reassigned <= 2 * engines.size(), "moved: " + reassigned);
        assertTrue(movedByIndex > 5 * reassigned, "reassigned by index: " + movedByIndex);
    }

    /** Guards against a late unload or change of role on an engine that does not check fencing tokens. */
    @Test
    void anEngineThatIgnoresFencingTokensGetsOnlyLoads() {
        EngineReport full = report(Set.of(OLD), 0, false, 0);
        assertEquals(List.of(), reconciler().reconcile(ONE, VIEW, List.of(full), 0));
        EngineReport loaded = report(Set.of(OLD, LARGE), 0, false, 0, EngineRole.PREFILL);
        assertEquals(List.of(), reconciler().reconcile(ONE, VIEW, List.of(loaded), 0));
        EngineReport free = report(Set.of(OLD), 1, false, 0);
        assertEquals(List.of(new ModelOrder.Load(ENGINE, V5, LARGE)), reconcileTwice(free));
        ModelOrder unload = new ModelOrder.Unload(ENGINE, V5, OLD);
        assertFalse(reconciler().mayStillSend(unload, full, VIEW, 0));
    }

    @Test
    void anEngineThatHonoursFencingUnloadsOnlyToFreeASlotAndChangesRoleOnceItServesItsModel() {
        EngineReport full = report(Set.of(OLD), 0, true, 0);
        assertEquals(List.of(new ModelOrder.Unload(ENGINE, V5, OLD)), reconcileTwice(full));
        EngineReport loaded = report(Set.of(OLD, LARGE), 0, true, 0, EngineRole.PREFILL);
        assertEquals(List.of(new ModelOrder.SetRole(ENGINE, V5, EngineRole.MIXED)), reconcileTwice(loaded));
    }

    /** Guards against sending an order after the process was paused between the decision and the send. */
    @Test
    void theCheckBeforeSendingRejectsStaleViewsOldVersionsAndLostResponsibility() {
        ModelReconciler reconciler = reconciler();
        EngineReport report = report(Set.of(), 1, true, 0);
        ModelOrder order = new ModelOrder.Load(ENGINE, V5, LARGE);
        assertTrue(reconciler.mayStillSend(order, report, VIEW, ms(10_000)));
        FleetView recentView = new FleetView(V5, List.of(SELF), Set.of(), ms(10_001));
        EngineReport recentReport = report(Set.of(), 1, true, 10_001);
        assertTrue(reconciler.mayStillSend(order, recentReport, recentView, ms(10_001)));
        assertFalse(reconciler.mayStillSend(order, report, recentView, ms(10_001)));
        assertFalse(reconciler.mayStillSend(order, recentReport, VIEW, ms(10_001)));
        FleetView newer = new FleetView(new SettingsVersion(6), List.of(SELF), Set.of(), 0);
        assertFalse(reconciler.mayStillSend(order, report, newer, 0));
        FleetView leaving = new FleetView(V5, List.of(SELF), Set.of(ENGINE), 0);
        assertFalse(reconciler.mayStillSend(order, report, leaving, 0));
        FleetView otherHostResponsible = new FleetView(V5, List.of(HostId.of("h2")), Set.of(), 0);
        assertFalse(reconciler.mayStillSend(order, report, otherHostResponsible, 0));
    }

    @Test
    void anOrderWithoutEffectIsRetriedOnlyAfterTheRetryInterval() {
        ModelReconciler reconciler = reconciler();
        assertEquals(
                1,
                reconciler
                        .reconcile(ONE, VIEW, List.of(report(Set.of(OLD), 0, true, 0)), 0)
                        .size());
        assertEquals(
                0,
                reconciler
                        .reconcile(ONE, VIEW, List.of(report(Set.of(OLD), 0, true, 1_000)), ms(1_000))
                        .size());
        assertEquals(
                1,
                reconciler
                        .reconcile(ONE, VIEW, List.of(report(Set.of(OLD), 0, true, 30_000)), ms(30_000))
                        .size());
    }

    /** Guards against all hosts starting loads at the same time after a change of the plan. */
    @Test
    void theLoadsOfAllHostsTogetherStayWithinTheRateOfTheWeightStore() {
        List<PlannedEngine> engines = engines(120);
        ModelPlan plan = ModelPlan.compute(V5, SHARES, engines);
        List<HostId> hosts = new ArrayList<>();
        List<ModelReconciler> reconcilers = new ArrayList<>();
        for (int i = 0; i < 40; i++) {
            hosts.add(HostId.of("host" + i));
            reconcilers.add(new ModelReconciler(hosts.get(i), new ModelReconcilerConfig(60, 10_000, 3_600_000)));
        }
        int loads = 0;
        for (long second = 0; second <= 60; second++) {
            FleetView view = new FleetView(V5, hosts, Set.of(), ms(second * 1_000));
            for (ModelReconciler reconciler : reconcilers) {
                List<EngineReport> reports = new ArrayList<>();
                for (PlannedEngine engine : engines) {
                    BackendIncarnation process = new BackendIncarnation(engine.engine(), 1);
                    reports.add(new EngineReport(
                            process, Set.of(), Set.of(), EngineRole.MIXED, 1, true, ms(second * 1_000)));
                }
                loads += reconciler
                        .reconcile(plan, view, reports, ms(second * 1_000))
                        .size();
            }
        }
        assertTrue(loads >= 30 && loads <= 60 + 20, "loads in the first minute: " + loads);
    }

    private static List<ModelOrder> reconcileTwice(EngineReport report) {
        ModelReconciler reconciler = reconciler();
        EngineReport later = new EngineReport(
                report.engine(),
                report.loaded(),
                report.loading(),
                report.role(),
                report.freeSlots(),
                report.honoursFencing(),
                ms(2_000));
        List<ModelOrder> orders = new ArrayList<>(reconciler.reconcile(ONE, VIEW, List.of(report), 0));
        orders.addAll(reconciler.reconcile(ONE, VIEW, List.of(later), ms(2_000)));
        return orders;
    }

    private static ModelReconciler reconciler() {
        return new ModelReconciler(SELF, ModelReconcilerConfig.DEFAULT);
    }

    private static EngineReport report(Set<ModelId> loaded, int freeSlots, boolean fencing, long atMs) {
        return report(loaded, freeSlots, fencing, atMs, EngineRole.MIXED);
    }

    private static EngineReport report(
            Set<ModelId> loaded, int freeSlots, boolean fencing, long atMs, EngineRole role) {
        return new EngineReport(ENGINE, loaded, Set.of(), role, freeSlots, fencing, ms(atMs));
    }

    private static List<PlannedEngine> engines(int count) {
        List<PlannedEngine> engines = new ArrayList<>();
        for (int i = 1; i <= count; i++) {
            engines.add(planned(i));
        }
        return engines;
    }

    private static PlannedEngine planned(int number) {
        return new PlannedEngine(BackendServerId.of("e" + number), AvailabilityZoneId.of("az" + number % 3));
    }

    private static long count(ModelPlan plan, ModelId model) {
        return plan.assignments().values().stream()
                .filter(assignment -> assignment.model().equals(model))
                .count();
    }

    private static long ms(long value) {
        return TimeUnit.MILLISECONDS.toNanos(value);
    }
}

package io.figspan.control.steward;

import io.figspan.core.id.BackendServerId;
import io.figspan.core.id.HostId;
import io.figspan.core.id.ModelId;
import io.figspan.core.util.RendezvousHash;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeSet;
import java.util.concurrent.TimeUnit;

/**
 * Compares what engines report with the plan and gives at most one order at a time to each engine that this host
 * stewards. An engine that ignores fencing tokens gets only orders that are harmless when late or repeated.
 *
 * <p>The load rate of the weight store is shared without messages: a host that stewards a part of the engines uses that
 * part of the rate. In a partition only engines with recent reports count, so both sides together stay within the rate.
 * Not safe for use by several threads at once.
 */
public final class ModelReconciler {
    private static final double NANOS_PER_MINUTE = TimeUnit.MINUTES.toNanos(1);

    private final HostId self;
    private final ModelReconcilerConfig config;
    private final Map<BackendServerId, Sent> sent = new HashMap<>();
    /** Engines that this host stewards, computed once for each set of live hosts. */
    private final Map<BackendServerId, Boolean> stewardship = new HashMap<>();

    private List<HostId> stewardshipHosts = List.of();
    private Map<BackendServerId, Assignment> paced = Map.of();
    private double loadCredit;
    private long creditAtNanos;

    public ModelReconciler(HostId self, ModelReconcilerConfig config) {
        this.self = self;
        this.config = config;
    }

    /**
     * Orders that bring the stewarded engines closer to the plan. Each has to pass {@link #mayStillSend} right before
     * it is sent.
     */
    public List<ModelOrder> reconcile(
            ModelPlan plan, FleetView view, Collection<EngineReport> reports, long nowNanos) {
        List<EngineReport> mine = reports.stream()
                .filter(report -> isFresh(report.atNanos(), nowNanos))
                .filter(report -> !view.leaving().contains(report.engine()))
                .filter(report -> isResponsible(view, report.engine().server()))
                .sorted(Comparator.comparing(report -> report.engine().server()))
                .toList();
        refill(plan, mine.size(), nowNanos);
        sent.keySet().retainAll(plan.assignments().keySet());
        stewardship.keySet().retainAll(plan.assignments().keySet());
        List<ModelOrder> orders = new ArrayList<>();
        for (EngineReport report : mine) {
            nextOrder(plan, report)
                    .filter(order -> mayRepeat(order, nowNanos))
                    .filter(this::takeLoadCredit)
                    .ifPresent(order -> {
                        sent.put(order.engine().server(), new Sent(order, nowNanos));
                        orders.add(order);
                    });
        }
        return orders;
    }

    /**
     * The check right before an order is sent: the version is still in force, this host still stewards the engine, the
     * engine is not leaving, and both beliefs are recent. A process that paused since {@link #reconcile} fails it.
     */
    public boolean mayStillSend(ModelOrder order, EngineReport report, FleetView fresh, long nowNanos) {
        return order.fence().equals(fresh.inForce())
                && order.engine().equals(report.engine())
                && (report.honoursFencing() || order.isAdditive())
                && isFresh(fresh.atNanos(), nowNanos)
                && isFresh(report.atNanos(), nowNanos)
                && !fresh.leaving().contains(order.engine())
                && fresh.isResponsible(self, order.engine().server());
    }

    /** The first step from what the engine reports to what the plan wants: load, change of role, unload. */
    private static Optional<ModelOrder> nextOrder(ModelPlan plan, EngineReport report) {
        Optional<Assignment> planned = plan.assignment(report.engine().server());
        if (planned.isEmpty()) {
            return Optional.empty();
        }
        Assignment want = planned.get();
        Optional<ModelId> missing = missing(want, report);
        Optional<ModelId> surplus = new TreeSet<>(report.loaded())
                .stream().filter(model -> !want.needs(model)).findFirst();
        if (missing.isPresent() && report.freeSlots() > 0) {
            return Optional.of(new ModelOrder.Load(report.engine(), plan.version(), missing.get()));
        }
        if (!report.honoursFencing()) {
            return Optional.empty();
        }
        if (missing.isPresent() && surplus.isPresent()) {
            return Optional.of(new ModelOrder.Unload(report.engine(), plan.version(), surplus.get()));
        }
        boolean servesPlanned = report.loaded().contains(want.model());
        if (servesPlanned && report.role() != want.role()) {
            return Optional.of(new ModelOrder.SetRole(report.engine(), plan.version(), want.role()));
        }
        return Optional.empty();
    }

    private static Optional<ModelId> missing(Assignment want, EngineReport report) {
        List<ModelId> needed = new ArrayList<>();
        needed.add(want.model());
        needed.addAll(want.additionalModels());
        return needed.stream()
                .filter(model -> !report.loaded().contains(model))
                .filter(model -> !report.loading().contains(model))
                .findFirst();
    }

    private boolean isResponsible(FleetView view, BackendServerId engine) {
        if (!stewardshipHosts.equals(view.liveHosts())) {
            stewardshipHosts = view.liveHosts();
            stewardship.clear();
        }
        return stewardship.computeIfAbsent(engine, id -> view.isResponsible(self, id));
    }

    private boolean mayRepeat(ModelOrder order, long nowNanos) {
        Sent last = sent.get(order.engine().server());
        return last == null
                || !last.order.hasSameEffect(order)
                || nowNanos - last.atNanos >= TimeUnit.MILLISECONDS.toNanos(config.orderRetryMs());
    }

    /**
     * Adds the credit since the last call. When the plan moves engines, all hosts start over at credits spread evenly
     * over 0 to 1 by a hash, so that their first loads are spread over time and not sent all at once.
     */
    private void refill(ModelPlan plan, int stewardedEngines, long nowNanos) {
        double minutes = (nowNanos - creditAtNanos) / NANOS_PER_MINUTE;
        creditAtNanos = nowNanos;
        if (!paced.equals(plan.assignments())) {
            paced = plan.assignments();
            loadCredit = phase(plan);
            return;
        }
        double part = (double) stewardedEngines / Math.max(1, paced.size());
        loadCredit = Math.min(1, loadCredit + minutes * config.fleetLoadsPerMinute() * part);
    }

    private double phase(ModelPlan plan) {
        long weight = RendezvousHash.weight("load:" + plan.version(), self.value());
        return (weight >>> 11) * 0x1.0p-53;
    }

    private boolean takeLoadCredit(ModelOrder order) {
        if (!(order instanceof ModelOrder.Load)) {
            return true;
        }
        if (loadCredit < 1) {
            return false;
        }
        loadCredit -= 1;
        return true;
    }

    private boolean isFresh(long atNanos, long nowNanos) {
        return nowNanos - atNanos <= TimeUnit.MILLISECONDS.toNanos(config.maxReportAgeMs());
    }

    private record Sent(ModelOrder order, long atNanos) {}
}

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
 * Reconciles the engines that this host is responsible for with the plan, with at most one order at a time for each.
 * An engine that ignores fencing tokens gets only orders that are safe when late or repeated.
 *
 * <p>The loads from the weight store are limited by a token bucket. Hosts share the rate without messages: a host that
 * is responsible for a fraction of the engines uses that fraction of the rate. In a partition only engines with recent
 * reports count, so that both sides together stay within the rate. Not thread-safe.
 */
public final class ModelReconciler {
    private static final double NANOS_PER_MINUTE = TimeUnit.MINUTES.toNanos(1);

    private final HostId self;
    private final ModelReconcilerConfig config;
    private final Map<BackendServerId, SentOrder> sent = new HashMap<>();
    /** Cached results of {@link FleetView#isResponsible} for {@link #cachedLiveHosts}. */
    private final Map<BackendServerId, Boolean> responsibility = new HashMap<>();

    private List<HostId> cachedLiveHosts = List.of();
    private Map<BackendServerId, Assignment> lastAssignments = Map.of();
    private double loadCredit;
    private long creditAtNanos;

    public ModelReconciler(HostId self, ModelReconcilerConfig config) {
        this.self = self;
        this.config = config;
    }

    /**
     * Returns the next orders, at most one for each engine. Each of them must pass {@link #mayStillSend} right before
     * it is sent.
     */
    public List<ModelOrder> reconcile(ModelPlan plan, FleetView view, Collection<EngineReport> reports, long nowNanos) {
        List<EngineReport> ownReports = reports.stream()
                .filter(report -> isFresh(report.atNanos(), nowNanos))
                .filter(report -> !view.leaving().contains(report.engine()))
                .filter(report -> isResponsible(view, report.engine().server()))
                .sorted(Comparator.comparing(report -> report.engine().server()))
                .toList();
        refill(plan, ownReports.size(), nowNanos);
        sent.keySet().retainAll(plan.assignments().keySet());
        responsibility.keySet().retainAll(plan.assignments().keySet());
        List<ModelOrder> orders = new ArrayList<>();
        for (EngineReport report : ownReports) {
            nextOrder(plan, report)
                    .filter(order -> isNewOrRetryDue(order, nowNanos))
                    .filter(this::takeLoadCredit)
                    .ifPresent(order -> {
                        sent.put(order.engine().server(), new SentOrder(order, nowNanos));
                        orders.add(order);
                    });
        }
        return orders;
    }

    /**
     * Checks right before an order is sent that its settings version is in force, this host is responsible for the
     * engine, the engine is not leaving, and the view and the report are recent. This rejects orders of a process that
     * was paused after {@link #reconcile}.
     */
    public boolean mayStillSend(ModelOrder order, EngineReport report, FleetView current, long nowNanos) {
        return order.fence().equals(current.inForce())
                && order.engine().equals(report.engine())
                && (report.honoursFencing() || order.isAdditive())
                && isFresh(current.atNanos(), nowNanos)
                && isFresh(report.atNanos(), nowNanos)
                && !current.leaving().contains(order.engine())
                && current.isResponsible(self, order.engine().server());
    }

    /** Returns the next order that brings an engine closer to its assignment: a load, an unload or a change of role. */
    private static Optional<ModelOrder> nextOrder(ModelPlan plan, EngineReport report) {
        Optional<Assignment> planned = plan.assignment(report.engine().server());
        if (planned.isEmpty()) {
            return Optional.empty();
        }
        Assignment assignment = planned.get();
        Optional<ModelId> missing = missing(assignment, report);
        Optional<ModelId> surplus = new TreeSet<>(report.loaded())
                .stream().filter(model -> !assignment.needs(model)).findFirst();
        if (missing.isPresent() && report.freeSlots() > 0) {
            return Optional.of(new ModelOrder.Load(report.engine(), plan.version(), missing.get()));
        }
        if (!report.honoursFencing()) {
            return Optional.empty();
        }
        if (missing.isPresent() && surplus.isPresent()) {
            return Optional.of(new ModelOrder.Unload(report.engine(), plan.version(), surplus.get()));
        }
        boolean servesAssignedModel = report.loaded().contains(assignment.model());
        if (servesAssignedModel && report.role() != assignment.role()) {
            return Optional.of(new ModelOrder.SetRole(report.engine(), plan.version(), assignment.role()));
        }
        return Optional.empty();
    }

    private static Optional<ModelId> missing(Assignment assignment, EngineReport report) {
        List<ModelId> needed = new ArrayList<>();
        needed.add(assignment.model());
        needed.addAll(assignment.additionalModels());
        return needed.stream()
                .filter(model -> !report.loaded().contains(model))
                .filter(model -> !report.loading().contains(model))
                .findFirst();
    }

    private boolean isResponsible(FleetView view, BackendServerId engine) {
        if (!cachedLiveHosts.equals(view.liveHosts())) {
            cachedLiveHosts = view.liveHosts();
            responsibility.clear();
        }
        return responsibility.computeIfAbsent(engine, id -> view.isResponsible(self, id));
    }

    private boolean isNewOrRetryDue(ModelOrder order, long nowNanos) {
        SentOrder last = sent.get(order.engine().server());
        return last == null
                || !last.order.hasSameEffect(order)
                || nowNanos - last.atNanos >= TimeUnit.MILLISECONDS.toNanos(config.orderRetryMs());
    }

    /**
     * Refills the token bucket for the time since the last call. When the assignments change, each host starts over at
     * a level that a hash distributes evenly over 0 to 1, so that the first loads of the hosts are spread over time.
     */
    private void refill(ModelPlan plan, int ownEngineCount, long nowNanos) {
        double minutes = (nowNanos - creditAtNanos) / NANOS_PER_MINUTE;
        creditAtNanos = nowNanos;
        if (!lastAssignments.equals(plan.assignments())) {
            lastAssignments = plan.assignments();
            loadCredit = initialCredit(plan);
            return;
        }
        double fraction = (double) ownEngineCount / Math.max(1, lastAssignments.size());
        loadCredit = Math.min(1, loadCredit + minutes * config.fleetLoadsPerMinute() * fraction);
    }

    private double initialCredit(ModelPlan plan) {
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

    private record SentOrder(ModelOrder order, long atNanos) {}
}

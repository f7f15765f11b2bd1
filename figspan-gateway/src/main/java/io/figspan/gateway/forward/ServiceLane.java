package io.figspan.gateway.forward;

import io.figspan.core.id.BackendServerId;
import io.figspan.core.id.HostId;
import io.figspan.core.work.PlacedRequest;
import io.figspan.core.work.WorkChange;
import io.figspan.gateway.metrics.Activity;
import io.figspan.gateway.metrics.ProcessorTime;
import io.figspan.policy.placing.Job;
import io.figspan.policy.placing.Placement;
import io.figspan.policy.placing.Placer;
import io.figspan.policy.placing.Placer.EndOfWork;
import io.figspan.policy.placing.Placer.ServerSeat;
import io.figspan.policy.retry.WindowedRetryBudget;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Consumer;
import java.util.function.Supplier;

/** The jobs of one service and the placer that decides on them. All methods run on the event loop. */
final class ServiceLane {
    private final Placer placer;
    private final ServerScope scope;
    private final ProcessorTime processorTime;
    private final Consumer<WorkChange> workListener;
    private final Map<Job, ForwardCall> calls = new HashMap<>();
    private List<ServerSeat> servers = List.of();
    private WindowedRetryBudget budget;

    ServiceLane(
            Placer placer,
            ServerScope scope,
            WindowedRetryBudget budget,
            ProcessorTime processorTime,
            Consumer<WorkChange> workListener) {
        this.placer = placer;
        this.scope = scope;
        this.budget = budget;
        this.processorTime = processorTime;
        this.workListener = workListener;
    }

    WindowedRetryBudget budget() {
        return budget;
    }

    void replaceBudget(WindowedRetryBudget newBudget) {
        budget = newBudget;
    }

    int waiting() {
        return placer.waiting();
    }

    void serversChanged(List<ServerSeat> newServers, Set<HostId> newHosts, long nowNanos) {
        servers = newServers;
        hostsChanged(newHosts, nowNanos);
    }

    void hostsChanged(Set<HostId> newHosts, long nowNanos) {
        place(() -> {
            placer.serversChanged(scope.choose(servers, newHosts), nowNanos);
            return placer.tick(nowNanos);
        });
    }

    /** The hosts that share the servers with this one. */
    Set<HostId> cell() {
        return scope.audience(List.of());
    }

    /** The hosts that work of this host concerns. */
    Set<HostId> audience(List<PlacedRequest> work) {
        return scope.audience(work);
    }

    void submit(ForwardCall call, Job job, long nowNanos) {
        calls.put(job, call);
        place(() -> placer.arrived(job, nowNanos));
    }

    void pieceArrived(Job job, long pieces, long nowNanos) {
        processorTime.spend(Activity.PLACING, () -> placer.pieceArrived(job, pieces, nowNanos));
        if (pieces == 1) {
            workListener.accept(WorkChange.LOAD_REDUCED);
        }
    }

    void peerWork(HostId host, List<PlacedRequest> work, long nowNanos) {
        place(() -> placer.peerWork(host, work, nowNanos));
    }

    List<PlacedRequest> ownWork(long nowNanos) {
        return placer.ownWork(nowNanos);
    }

    void ended(Job job, EndOfWork end, long nowNanos) {
        place(() -> placer.ended(job, end, nowNanos));
        workListener.accept(WorkChange.LOAD_REDUCED);
    }

    void helperFailed(BackendServerId server, long nowNanos) {
        placer.helperFailed(server, nowNanos);
    }

    /** The call needs no placement any more. */
    void forget(Job job) {
        calls.remove(job);
        placer.withdrawn(job);
    }

    void tick(long nowNanos) {
        for (Job job : placer.overdue(nowNanos)) {
            ForwardCall call = calls.get(job);
            if (call != null) {
                call.onServerSilent();
            }
        }
        place(() -> placer.tick(nowNanos));
    }

    private void place(Supplier<List<Placement>> decision) {
        carryOut(processorTime.spend(Activity.PLACING, decision));
    }

    private void carryOut(List<Placement> placements) {
        for (Placement placement : placements) {
            ForwardCall call = calls.get(placement.job());
            if (call != null) {
                call.onPlacement(placement);
            }
        }
        if (!placements.isEmpty()) {
            workListener.accept(WorkChange.PLACED);
        }
    }
}

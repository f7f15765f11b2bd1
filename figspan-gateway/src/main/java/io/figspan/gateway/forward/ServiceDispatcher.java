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
import io.figspan.policy.placing.Placer.AttemptOutcome;
import io.figspan.policy.placing.Placer.AvailableServer;
import io.figspan.policy.placing.ShareChange;
import io.figspan.policy.retry.WindowedRetryBudget;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.Supplier;

/**
 * Submits the jobs of one service to its placer and passes the placements on to their calls. All methods must be called
 * on the event loop.
 */
final class ServiceDispatcher {
    /**
     * A tick that comes so long after the one before means that this host was paused or busy, and has yet to read what
     * the servers have sent meanwhile.
     */
    private static final long LATE_TICK_NANOS = TimeUnit.MILLISECONDS.toNanos(300);

    private final Placer placer;
    private final ServerSubset subset;
    private final EvacuationRefusals refusals;
    private final ProcessorTime processorTime;
    private final Consumer<WorkChange> workListener;
    private final Map<Job, ForwardCall> calls = new HashMap<>();
    private final Map<BackendServerId, Set<HostId>> hostsUsing = new HashMap<>();
    private List<AvailableServer> servers = List.of();
    private Set<HostId> hosts = Set.of();

    /** Whether all servers that could be chosen are in evacuated zones. */
    private boolean isEvacuated;

    private WindowedRetryBudget budget;
    private OptionalLong lastTickNanos = OptionalLong.empty();

    ServiceDispatcher(
            Placer placer,
            ServerSubset subset,
            EvacuationRefusals refusals,
            WindowedRetryBudget budget,
            ProcessorTime processorTime,
            Consumer<WorkChange> workListener) {
        this.placer = placer;
        this.subset = subset;
        this.refusals = refusals;
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

    int waitingCount() {
        return placer.waiting();
    }

    void serversChanged(List<AvailableServer> newServers, Set<HostId> newHosts, boolean nowEvacuated, long nowNanos) {
        servers = newServers;
        isEvacuated = nowEvacuated;
        hostsChanged(newHosts, nowNanos);
        if (isEvacuated) {
            placeWaiting(nowNanos);
        }
    }

    /**
     * Other zones are evacuated than before. Does nothing if the service has no servers there.
     *
     * @return number of queued requests that were placed again, or queued again
     */
    int zonesChanged(List<AvailableServer> newServers, Set<HostId> newHosts, boolean nowEvacuated, long nowNanos) {
        if (newServers.equals(servers) && nowEvacuated == isEvacuated) {
            return 0;
        }
        serversChanged(newServers, newHosts, nowEvacuated, nowNanos);
        return isEvacuated ? 0 : placeWaiting(nowNanos);
    }

    /**
     * Places the queued requests whenever they were last tried, and returns their number. All of them are tried before
     * an unexpected error with one is thrown.
     */
    private int placeWaiting(long nowNanos) {
        List<Job> waiting = placer.takeWaiting();
        Optional<RuntimeException> error = Optional.empty();
        for (Job job : waiting) {
            try {
                placeIfKnown(job, nowNanos);
            } catch (RuntimeException e) {
                error = Optional.of(e);
            }
        }
        if (error.isPresent()) {
            throw error.get();
        }
        return waiting.size();
    }

    /** The placement of another job may have ended the call of this one. */
    private void placeIfKnown(Job job, long nowNanos) {
        if (calls.containsKey(job)) {
            placeOrRefuse(job, nowNanos);
        }
    }

    private void placeOrRefuse(Job job, long nowNanos) {
        if (isEvacuated) {
            dispatch(refusals.refuse(job));
        } else {
            place(() -> placer.arrived(job, nowNanos));
        }
    }

    void hostsChanged(Set<HostId> newHosts, long nowNanos) {
        hosts = newHosts;
        hostsUsing.clear();
        place(() -> {
            placer.serversChanged(subset.select(servers, newHosts), nowNanos);
            return placer.tick(nowNanos);
        });
    }

    /** The hosts that share servers with this one. */
    Set<HostId> cellHosts() {
        return subset.reportRecipients(List.of());
    }

    /** The live hosts that use a server while it limits its requests. */
    Set<HostId> hostsUsing(BackendServerId server) {
        return hostsUsing.computeIfAbsent(server, key -> subset.hostsUsing(key, hosts));
    }

    /** The hosts to which this host must report this work. */
    Set<HostId> reportRecipients(List<PlacedRequest> work) {
        return subset.reportRecipients(work);
    }

    /** Submits a job, unless it can't end before this host stops. */
    void submit(ForwardCall call, Job job, long nowNanos) {
        if (call.endIfOutOfTime(nowNanos)) {
            return;
        }
        calls.put(job, call);
        placeOrRefuse(job, nowNanos);
    }

    /** This many pieces of the answer were received together; {@code pieceCount} have been received so far. */
    void piecesArrived(Job job, long received, long pieceCount, long nowNanos) {
        processorTime.measure(Activity.PLACEMENT, () -> placer.pieceArrived(job, pieceCount, nowNanos));
        if (pieceCount == received) {
            workListener.accept(WorkChange.LOAD_REDUCED);
        }
    }

    void peerWork(HostId host, List<PlacedRequest> work, long nowNanos) {
        place(() -> placer.peerWork(host, work, nowNanos));
    }

    List<PlacedRequest> ownWork(long nowNanos) {
        return placer.ownWork(nowNanos);
    }

    void ended(Job job, AttemptOutcome end, long nowNanos) {
        place(() -> placer.ended(job, end, nowNanos));
        workListener.accept(WorkChange.LOAD_REDUCED);
    }

    void helperFailed(BackendServerId server, long nowNanos) {
        placer.helperFailed(server, nowNanos);
    }

    /** A job goes on at its silent server, where the attempt was kept open. */
    void resumed(Job job, BackendServerId server, long nowNanos) {
        processorTime.measure(Activity.PLACEMENT, () -> placer.resumed(job, server, nowNanos));
        workListener.accept(WorkChange.PLACED);
    }

    /** Removes a job from the queue; its call stays known, because the job runs at an earlier server. */
    void withdraw(Job job) {
        placer.withdrawn(job);
    }

    /** Removes a job that needs no placement any more. */
    void forget(Job job) {
        calls.remove(job);
        placer.withdrawn(job);
        placer.forgotten(job);
    }

    void tick(long nowNanos) {
        boolean isLate = lastTickNanos.isEmpty() || nowNanos - lastTickNanos.getAsLong() > LATE_TICK_NANOS;
        lastTickNanos = OptionalLong.of(nowNanos);
        if (!isLate) {
            detectSilentServers(nowNanos);
        }
        place(() -> placer.tick(nowNanos));
    }

    /** Returns the organisations that are limited to their share, or no longer, since the last call. */
    List<ShareChange> shareChanges(long nowNanos) {
        return placer.shareChanges(nowNanos);
    }

    private void detectSilentServers(long nowNanos) {
        for (Job job : placer.overdue(nowNanos)) {
            ForwardCall call = calls.get(job);
            if (call != null) {
                call.onServerSilent();
            }
        }
    }

    /** Ends the requests in progress that a quarantine concerns. */
    void quarantined() {
        List.copyOf(calls.values()).forEach(ForwardCall::onQuarantined);
    }

    /** Records how long the requests in progress have lasted, for the estimates of later ones. */
    void observeDurations(long nowNanos) {
        calls.values().forEach(call -> call.observeDuration(nowNanos));
    }

    /** Ends the requests that no server has and that can't end before this host stops. */
    void endCallsOutOfTime(long nowNanos) {
        List.copyOf(calls.values()).forEach(call -> call.endIfOutOfTime(nowNanos));
    }

    /** Ends all requests in progress because this host stops. */
    void endCallsForShutdown() {
        List.copyOf(calls.values()).forEach(ForwardCall::endForShutdown);
    }

    private void place(Supplier<List<Placement>> decision) {
        dispatch(processorTime.measure(Activity.PLACEMENT, decision));
    }

    /** Passes all placements on, before an unexpected error with one of them is thrown. */
    private void dispatch(List<Placement> placements) {
        Optional<RuntimeException> error = Optional.empty();
        for (Placement placement : placements) {
            try {
                dispatch(placement);
            } catch (RuntimeException e) {
                error = Optional.of(e);
            }
        }
        if (!placements.isEmpty()) {
            workListener.accept(WorkChange.PLACED);
        }
        if (error.isPresent()) {
            throw error.get();
        }
    }

    private void dispatch(Placement placement) {
        ForwardCall call = calls.get(placement.job());
        if (call != null) {
            call.onPlacement(placement);
        }
    }
}

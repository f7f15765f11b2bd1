package io.figspan.policy.placing;

import io.figspan.core.id.BackendServerId;
import io.figspan.core.id.HostId;
import io.figspan.core.work.PlacedRequest;
import io.figspan.policy.engine.EngineSimulation.RequestTraits;
import io.figspan.policy.placing.PrefillPlan.Helper;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.LongSupplier;

/** Tracks the jobs that the other hosts have placed, and adds them to this host's engine simulations. */
final class PeerJobs {
    private final Map<BackendServerId, EngineState> engines;
    private final LongSupplier nextKey;
    private final Map<HostId, Map<Long, PeerJob>> peers = new HashMap<>();

    /**
     * A job of another host.
     *
     * @param key key of the job in the simulations
     * @param simulated whether the job is in the simulations; false while its engine is unknown here
     */
    private record PeerJob(long key, PlacedRequest work, boolean simulated) {}

    /**
     * Creates a tracker without jobs.
     *
     * @param engines live view of the engines, which the caller keeps up to date
     * @param nextKey supplies keys that are unique in the simulations
     */
    PeerJobs(Map<BackendServerId, EngineState> engines, LongSupplier nextKey) {
        this.engines = engines;
        this.nextKey = nextKey;
    }

    /** Replaces the jobs of one host by {@code work}, the complete list of what it has placed now. */
    void replace(HostId host, List<PlacedRequest> work, double nowMs) {
        Map<Long, PeerJob> jobs = peers.computeIfAbsent(host, ignored -> new HashMap<>());
        for (PlacedRequest item : work) {
            jobs.compute(item.id(), (id, known) -> known == null ? add(item, nowMs) : update(known, item, nowMs));
        }
        if (jobs.size() > work.size()) {
            removeAllBut(work, jobs, nowMs);
        }
        if (jobs.isEmpty()) {
            peers.remove(host);
        }
    }

    private void removeAllBut(List<PlacedRequest> work, Map<Long, PeerJob> jobs, double nowMs) {
        Set<Long> kept = new HashSet<>();
        work.forEach(item -> kept.add(item.id()));
        for (Iterator<PeerJob> left = jobs.values().iterator(); left.hasNext(); ) {
            PeerJob job = left.next();
            if (!kept.contains(job.work().id())) {
                left.remove();
                remove(job, nowMs);
            }
        }
    }

    private PeerJob add(PlacedRequest work, double nowMs) {
        EngineState primary = engines.get(work.server());
        PeerJob job = new PeerJob(nextKey.getAsLong(), work, primary != null);
        if (primary == null) {
            return job;
        }
        List<Helper> helpers = helpersOf(work);
        long heldElsewhere = helpers.stream().mapToLong(Helper::heldTokens).sum();
        RequestTraits traits = new RequestTraits(
                (double) work.promptTokens() - heldElsewhere,
                nowMs + work.dueInMs(),
                CallerPatience.abandonMs(work, nowMs),
                work.maxGapMs(),
                JobWeight.of(work));
        if (work.generatedTokens() > 0) {
            primary.simulation().addDecodingRequest(job.key(), traits, (double) work.generatedTokens(), nowMs);
            helpers.forEach(helper -> helper.engine().hold(job.key(), helper.heldTokens()));
        } else {
            SimulatedRequests.add(job.key(), primary, helpers, (double) work.promptTokens(), traits, nowMs);
        }
        return job;
    }

    private List<Helper> helpersOf(PlacedRequest work) {
        return work.readers().stream()
                .filter(helper -> engines.containsKey(helper.server()))
                .map(helper -> new Helper(engines.get(helper.server()), helper.heldTokens()))
                .toList();
    }

    private PeerJob update(PeerJob known, PlacedRequest work, double nowMs) {
        if (!known.simulated()) {
            return add(work, nowMs);
        }
        boolean startedDecoding = known.work().generatedTokens() == 0 && work.generatedTokens() > 0;
        EngineState primary = engines.get(work.server());
        if (startedDecoding && primary != null) {
            helpersOf(known.work())
                    .forEach(helper -> helper.engine().simulation().remove(known.key(), nowMs));
            primary.simulation().firstTokenSeen(known.key(), nowMs);
            return new PeerJob(known.key(), work, true);
        }
        return known;
    }

    private void remove(PeerJob job, double nowMs) {
        EngineState primary = engines.get(job.work().server());
        if (primary != null && job.simulated()) {
            SimulatedRequests.remove(job.key(), primary, helpersOf(job.work()), nowMs);
        }
    }
}

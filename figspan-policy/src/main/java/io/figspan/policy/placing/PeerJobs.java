package io.figspan.policy.placing;

import io.figspan.core.id.BackendServerId;
import io.figspan.core.id.HostId;
import io.figspan.core.work.PlacedRequest;
import io.figspan.policy.engine.PassSimulation.RequestTraits;
import io.figspan.policy.placing.ReadPlan.Reader;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.LongSupplier;

/** What the other hosts have at the engines, entered into the simulations of this host. */
final class PeerJobs {
    private final Map<BackendServerId, EngineSeat> seats;
    private final LongSupplier nextKey;
    private final Map<HostId, Map<Long, PeerJob>> peers = new HashMap<>();

    /**
     * A job of another host.
     *
     * @param key names it in the simulations
     * @param entered whether its engine was known, so that it is in the simulations
     */
    private record PeerJob(long key, PlacedRequest work, boolean entered) {}

    /**
     * No jobs yet.
     *
     * @param seats the engines, kept up to date by the owner
     * @param nextKey gives keys that no other job has
     */
    PeerJobs(Map<BackendServerId, EngineSeat> seats, LongSupplier nextKey) {
        this.seats = seats;
        this.nextKey = nextKey;
    }

    /** Takes all that a host has at the engines now. */
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
        EngineSeat first = seats.get(work.server());
        PeerJob job = new PeerJob(nextKey.getAsLong(), work, first != null);
        if (first == null) {
            return job;
        }
        List<Reader> readers = readersOf(work);
        long heldElsewhere = readers.stream().mapToLong(Reader::heldTokens).sum();
        RequestTraits traits = new RequestTraits(
                (double) work.promptTokens() - heldElsewhere,
                nowMs + work.dueInMs(),
                Patience.endMs(work, nowMs),
                work.maxGapMs(),
                JobWorth.of(work));
        if (work.generatedTokens() > 0) {
            first.simulation().addWriter(job.key(), traits, (double) work.generatedTokens(), nowMs);
            readers.forEach(reader -> reader.seat().hold(job.key(), reader.heldTokens()));
        } else {
            SeatWork.add(job.key(), first, readers, (double) work.promptTokens(), traits, nowMs);
        }
        return job;
    }

    private List<Reader> readersOf(PlacedRequest work) {
        return work.readers().stream()
                .filter(reader -> seats.containsKey(reader.server()))
                .map(reader -> new Reader(seats.get(reader.server()), reader.heldTokens()))
                .toList();
    }

    private PeerJob update(PeerJob known, PlacedRequest work, double nowMs) {
        if (!known.entered()) {
            return add(work, nowMs);
        }
        boolean beganWriting = known.work().generatedTokens() == 0 && work.generatedTokens() > 0;
        EngineSeat first = seats.get(work.server());
        if (beganWriting && first != null) {
            readersOf(known.work()).forEach(reader -> reader.seat().simulation().remove(known.key(), nowMs));
            first.simulation().firstTokenSeen(known.key(), nowMs);
            return new PeerJob(known.key(), work, true);
        }
        return known;
    }

    private void remove(PeerJob job, double nowMs) {
        EngineSeat first = seats.get(job.work().server());
        if (first != null && job.entered()) {
            SeatWork.remove(job.key(), first, readersOf(job.work()), nowMs);
        }
    }
}

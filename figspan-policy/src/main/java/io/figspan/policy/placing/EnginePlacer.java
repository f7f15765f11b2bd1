package io.figspan.policy.placing;

import io.figspan.core.error.Problem;
import io.figspan.core.error.ProblemKind;
import io.figspan.core.id.BackendServerId;
import io.figspan.core.id.HostId;
import io.figspan.core.work.PlacedWork;
import io.figspan.policy.engine.LateRisk;
import io.figspan.policy.engine.PassSimulation.RequestTraits;
import io.figspan.policy.engine.ReadShare;
import io.figspan.settings.gateway.EngineProfile;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.Queue;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;

/**
 * Places prompts at model engines. It follows what each engine does by a simulation of its passes, fed with what this
 * host has sent there and what the other hosts tell, and sends each prompt by the plan that loses the least worth.
 * Answers load in which prompts of very unlike lengths come in bursts.
 */
public final class EnginePlacer implements Placer {
    /** Most jobs that wait; each costs its body's memory. */
    static final int MAX_WAITING = 256;

    /** Time to come back for a prompt that found no engine. */
    static final long RETRY_AFTER_MS = 400;

    /** Time for which an engine that failed a request gets no other. */
    private static final double AVOID_MS = 500;

    private final EngineProfile profile;
    private final ReadPlanner planner = new ReadPlanner(LateRisk.DEFAULT);
    private final Map<BackendServerId, EngineSeat> seats = new TreeMap<>();
    private final Map<Job, OwnWork> placed = new LinkedHashMap<>();
    private final Map<HostId, Map<Long, PeerJob>> peers = new HashMap<>();
    private final Queue<Job> queue = new ArrayDeque<>();
    private long nextKey = 1;

    /** A job of this host at its engines. */
    private static final class OwnWork {
        final long key;
        final EngineSeat first;
        final List<EngineSeat> readers;
        final long sentNanos;
        final long outputTokens;
        long writtenTokens;

        OwnWork(long key, EngineSeat first, List<EngineSeat> readers, long sentNanos, long outputTokens) {
            this.key = key;
            this.first = first;
            this.readers = readers;
            this.sentNanos = sentNanos;
            this.outputTokens = outputTokens;
        }
    }

    /** A job of another host, by its key in the simulations. */
    private record PeerJob(long key, PlacedWork work) {}

    public EnginePlacer(EngineProfile profile) {
        this.profile = profile;
    }

    // Engines

    @Override
    public void serversChanged(List<ServerSeat> servers, long nowNanos) {
        seats.values().forEach(seat -> seat.setOpen(false));
        for (ServerSeat server : servers) {
            EngineSeat seat = seats.computeIfAbsent(server.id(), id -> new EngineSeat(id, profile, ms(nowNanos)));
            seat.setOpen(true);
            seat.setSlots(server.slots());
        }
        seats.values()
                .removeIf(seat -> !seat.isOpen()
                        && seat.simulation().occupiedSlots() + seat.simulation().partsForOthers() == 0);
    }

    // Jobs

    @Override
    public List<Placement> arrived(Job job, long nowNanos) {
        Optional<Placement> placement = place(job, nowNanos);
        if (placement.isPresent()) {
            return List.of(placement.get());
        }
        if (queue.size() >= MAX_WAITING) {
            return List.of(refuse(job, "too many requests wait"));
        }
        queue.add(job);
        return List.of();
    }

    private Optional<Placement> place(Job job, long nowNanos) {
        double nowMs = ms(nowNanos);
        double promptTokens = promptTokens(job);
        double memoryTokens = job.prompt().map(PromptShape::maxMemoryTokens).orElse(0L);
        if (seats.isEmpty()) {
            return Optional.of(refuse(job, "no engine is known"));
        }
        if (memoryTokens > profile.memoryTokens()) {
            return Optional.of(refuse(job, "the prompt is larger than an engine's memory"));
        }
        List<EngineSeat> helpers = new ArrayList<>();
        List<EngineSeat> firsts = new ArrayList<>();
        for (EngineSeat seat : seats.values()) {
            if (!seat.isUsable(nowMs) || !seat.canRead()) {
                continue;
            }
            helpers.add(seat);
            boolean fits = seat.hasSlot() && seat.hasMemory(memoryTokens);
            if (fits && !job.tried().contains(seat.id())) {
                firsts.add(seat);
            }
        }
        ReadPlanner.Wanted wanted =
                new ReadPlanner.Wanted(promptTokens, memoryTokens, dueMs(job), gapMs(job), JobWorth.of(job.prompt()));
        return planner.plan(wanted, firsts, helpers, nowMs).map(plan -> send(job, plan, nowNanos));
    }

    private Placement send(Job job, ReadPlan plan, long nowNanos) {
        double nowMs = ms(nowNanos);
        long outputTokens = job.prompt().map(PromptShape::maxOutputTokens).orElse(0L);
        OwnWork work = new OwnWork(nextKey++, plan.first(), plan.readers(), nowNanos, outputTokens);
        placed.put(job, work);
        job.tried().add(plan.first().id());
        RequestTraits traits = new RequestTraits(promptTokens(job), dueMs(job), gapMs(job), JobWorth.of(job.prompt()));
        add(work.key, plan.first(), plan.readers(), traits, nowMs);
        List<BackendServerId> readers =
                plan.readers().stream().map(EngineSeat::id).toList();
        String reason = String.format(
                "readers=%d dueInMs=%.0f readInMs=%.0f loss=%.2f writers=%d",
                readers.size(),
                dueMs(job) - nowMs,
                plan.doneMs() - nowMs,
                plan.loss(),
                plan.first().simulation().writers());
        return new Placement.Send(job, plan.first().id(), OptionalInt.empty(), readers, reason);
    }

    private static void add(long key, EngineSeat first, List<EngineSeat> readers, RequestTraits traits, double nowMs) {
        ReadShare share = ReadShare.of(traits.promptTokens(), readers.size() + 1);
        double othersReadyMs = nowMs;
        for (EngineSeat reader : readers) {
            othersReadyMs = Math.max(
                    othersReadyMs,
                    reader.simulation().forecast(share, LateRisk.DEFAULT, nowMs).doneMs());
            reader.simulation().addPart(key, traits, share, nowMs);
        }
        first.simulation().addRequest(key, traits, share, othersReadyMs, nowMs);
    }

    @Override
    public void pieceArrived(Job job, long pieces, long nowNanos) {
        OwnWork work = placed.get(job);
        if (work == null) {
            return;
        }
        double nowMs = ms(nowNanos);
        if (work.writtenTokens == 0) {
            work.readers.forEach(reader -> reader.simulation().remove(work.key, nowMs));
            work.first.simulation().firstTokenSeen(work.key, nowMs);
        } else {
            work.first.simulation().passEnded(nowMs);
        }
        work.writtenTokens = 1 + (pieces - 1) * profile.strideSteps();
    }

    @Override
    public List<Placement> ended(Job job, EndOfWork end, long nowNanos) {
        OwnWork work = placed.remove(job);
        if (work == null) {
            return List.of();
        }
        double nowMs = ms(nowNanos);
        work.first.simulation().remove(work.key, nowMs);
        work.readers.forEach(reader -> reader.simulation().remove(work.key, nowMs));
        if (end == EndOfWork.BROKEN || end == EndOfWork.TURNED_AWAY) {
            work.first.avoidUntil(nowMs + AVOID_MS);
        }
        return tick(nowNanos);
    }

    @Override
    public void withdrawn(Job job) {
        queue.remove(job);
    }

    @Override
    public List<Placement> tick(long nowNanos) {
        if (queue.isEmpty()) {
            return List.of();
        }
        List<Placement> placements = new ArrayList<>();
        for (Iterator<Job> waiting = queue.iterator(); waiting.hasNext(); ) {
            Job job = waiting.next();
            Optional<Placement> placement = place(job, nowNanos);
            if (placement.isPresent()) {
                waiting.remove();
                placements.add(placement.get());
            } else if (hasWaitedTooLong(job, nowNanos)) {
                waiting.remove();
                placements.add(refuse(job, "no engine became free in time"));
            }
        }
        return placements;
    }

    private static boolean hasWaitedTooLong(Job job, long nowNanos) {
        long waitedNanos = nowNanos - job.arrivedNanos();
        long leftNanos = job.deadline().atNanos() - nowNanos;
        return waitedNanos > 2 * job.targetLatencyNanos() || leftNanos < job.targetLatencyNanos();
    }

    @Override
    public int waiting() {
        return queue.size();
    }

    private static Placement refuse(Job job, String reason) {
        Problem problem = Problem.notRun(ProblemKind.OVERLOADED, reason).withRetryAfterMs(RETRY_AFTER_MS);
        return new Placement.Refuse(job, problem, reason);
    }

    // Other hosts

    @Override
    public List<Placement> peerWork(HostId host, List<PlacedWork> work, long nowNanos) {
        double nowMs = ms(nowNanos);
        Map<Long, PeerJob> before = peers.getOrDefault(host, Map.of());
        Map<Long, PeerJob> after = new HashMap<>();
        for (PlacedWork item : work) {
            PeerJob known = before.get(item.id());
            after.put(item.id(), known == null ? addPeerJob(item, nowMs) : updatePeerJob(known, item, nowMs));
        }
        for (PeerJob job : before.values()) {
            if (!after.containsKey(job.work().id())) {
                removePeerJob(job, nowMs);
            }
        }
        if (after.isEmpty()) {
            peers.remove(host);
        } else {
            peers.put(host, after);
        }
        return tick(nowNanos);
    }

    private PeerJob addPeerJob(PlacedWork work, double nowMs) {
        PeerJob job = new PeerJob(nextKey++, work);
        EngineSeat first = seats.get(work.server());
        if (first == null) {
            return job;
        }
        RequestTraits traits =
                new RequestTraits(work.promptTokens(), nowMs + work.dueInMs(), work.maxGapMs(), JobWorth.of(work));
        if (work.writtenTokens() > 0) {
            first.simulation().addWriter(job.key(), traits, (double) work.writtenTokens(), nowMs);
            return job;
        }
        List<EngineSeat> readers = work.readers().stream()
                .map(seats::get)
                .filter(java.util.Objects::nonNull)
                .toList();
        add(job.key(), first, readers, traits, nowMs);
        return job;
    }

    private PeerJob updatePeerJob(PeerJob known, PlacedWork work, double nowMs) {
        boolean beganWriting = known.work().writtenTokens() == 0 && work.writtenTokens() > 0;
        EngineSeat first = seats.get(work.server());
        if (beganWriting && first != null) {
            removeParts(known, nowMs);
            first.simulation().firstTokenSeen(known.key(), nowMs);
        }
        return new PeerJob(known.key(), work);
    }

    private void removePeerJob(PeerJob job, double nowMs) {
        removeParts(job, nowMs);
        EngineSeat first = seats.get(job.work().server());
        if (first != null) {
            first.simulation().remove(job.key(), nowMs);
        }
    }

    private void removeParts(PeerJob job, double nowMs) {
        for (BackendServerId reader : job.work().readers()) {
            EngineSeat seat = seats.get(reader);
            if (seat != null) {
                seat.simulation().remove(job.key(), nowMs);
            }
        }
    }

    @Override
    public List<PlacedWork> ownWork(long nowNanos) {
        List<PlacedWork> work = new ArrayList<>();
        placed.forEach((job, own) -> work.add(new PlacedWork(
                own.key,
                own.first.id(),
                own.writtenTokens > 0
                        ? List.of()
                        : own.readers.stream().map(EngineSeat::id).toList(),
                (long) promptTokens(job),
                own.outputTokens,
                own.writtenTokens,
                Math.max(0, TimeUnit.NANOSECONDS.toMillis(nowNanos - own.sentNanos)),
                (long) (dueMs(job) - ms(nowNanos)),
                (long) gapMs(job))));
        return work;
    }

    // Units

    private static double promptTokens(Job job) {
        return job.prompt().map(PromptShape::promptTokens).orElse(0L);
    }

    private static double dueMs(Job job) {
        return ms(job.arrivedNanos() + job.targetLatencyNanos());
    }

    private static double gapMs(Job job) {
        return ms(job.maxGapNanos());
    }

    private static double ms(long nanos) {
        return nanos / 1e6;
    }
}

package io.figspan.policy.placing;

import io.figspan.core.error.Problem;
import io.figspan.core.error.ProblemKind;
import io.figspan.core.id.BackendServerId;
import io.figspan.core.id.HostId;
import io.figspan.core.work.PlacedReader;
import io.figspan.core.work.PlacedWork;
import io.figspan.policy.engine.LateLoss;
import io.figspan.policy.engine.PassSimulation;
import io.figspan.policy.engine.PassSimulation.RequestTraits;
import io.figspan.policy.engine.ReadShare;
import io.figspan.policy.placing.ReadPlan.Reader;
import io.figspan.settings.gateway.EngineProfile;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.Queue;
import java.util.Set;
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

    /** Looking for a place takes about a millisecond, so a job that waits does so this often at most. */
    private static final long RETRY_INTERVAL_NANOS = TimeUnit.MILLISECONDS.toNanos(30);

    /** An engine makes a piece every 50 to 300 ms; one that is later than expected by this is dead or cut off. */
    private static final double SILENCE_MS = 800;

    /** The same with helpers: the engine itself says within 1.5 s that one of them is dead. */
    private static final double HELPED_SILENCE_MS = 1_800;

    /** When more engines than one in so many are silent, they read a prompt together, or this host is cut off. */
    private static final int MOST_SILENT_OF = 4;

    /** Callers leave when nothing has come for the longest of so many targets, so many gaps, and the time below. */
    private static final double PATIENCE_TARGETS = 4;

    private static final double PATIENCE_GAPS = 8;

    private static final double MIN_PATIENCE_MS = 2_000;

    private final EngineProfile profile;
    private final ReadPlanner planner = new ReadPlanner(LateLoss.DEFAULT);
    private final Map<BackendServerId, EngineSeat> seats = new TreeMap<>();
    private final Map<Job, OwnWork> placed = new LinkedHashMap<>();
    private final Map<HostId, Map<Long, PeerJob>> peers = new HashMap<>();
    private final Crowding crowding = new Crowding();
    private final Queue<Waiting> queue = new ArrayDeque<>();
    private long nextKey = 1;

    /** A job that waits, and when a place was last looked for. */
    private static final class Waiting {
        final Job job;
        long triedAtNanos;

        Waiting(Job job, long triedAtNanos) {
            this.job = job;
            this.triedAtNanos = triedAtNanos;
        }
    }

    /** A job of this host at its engines. */
    private static final class OwnWork {
        final long key;
        final EngineSeat first;
        final List<Reader> readers;
        final long sentNanos;
        final long outputTokens;
        long writtenTokens;
        double nextPieceMs;
        boolean reportedOverdue;

        OwnWork(
                long key,
                EngineSeat first,
                List<Reader> readers,
                long sentNanos,
                long outputTokens,
                double nextPieceMs) {
            this.key = key;
            this.first = first;
            this.readers = readers;
            this.sentNanos = sentNanos;
            this.outputTokens = outputTokens;
            this.nextPieceMs = nextPieceMs;
        }

        /** Whether the engine is silent although it should have made a piece of this or of another answer. */
        boolean isOverdue(double nowMs) {
            boolean helped = writtenTokens == 0 && !readers.isEmpty();
            double silenceMs = helped ? HELPED_SILENCE_MS : SILENCE_MS;
            return nowMs > Math.max(nextPieceMs, first.heardMs()) + silenceMs;
        }

        /** The readers that matter to other hosts: once the prompt is read, only those that hold memory. */
        List<PlacedReader> placedReaders() {
            return readers.stream()
                    .filter(reader -> writtenTokens == 0 || reader.heldTokens() > 0)
                    .map(Reader::placed)
                    .toList();
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
        seats.values().removeIf(seat -> !seat.isOpen() && seat.isIdle());
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
        queue.add(new Waiting(job, nowNanos));
        return List.of();
    }

    private Optional<Placement> place(Job job, long nowNanos) {
        double nowMs = ms(nowNanos);
        double promptTokens = promptTokens(job);
        double memoryTokens = job.prompt().map(PromptShape::maxMemoryTokens).orElse(0L);
        if (seats.isEmpty()) {
            return Optional.of(refuse(job, "no engine is known"));
        }
        List<EngineSeat> helpers = new ArrayList<>();
        List<EngineSeat> firsts = new ArrayList<>();
        for (EngineSeat seat : seats.values()) {
            if (!seat.isUsable(nowMs) || !seat.canRead()) {
                continue;
            }
            helpers.add(seat);
            if (seat.hasSlot() && job.maySendTo(seat.id())) {
                firsts.add(seat);
            }
        }
        ReadPlanner.Wanted wanted = new ReadPlanner.Wanted(
                promptTokens, memoryTokens, dueMs(job), lostMs(job), gapMs(job), JobWorth.of(job.prompt()));
        Optional<ReadPlan> plan = planner.plan(wanted, firsts, helpers, nowMs);
        if (plan.isEmpty()) {
            return Optional.empty();
        }
        return switch (SendRule.decide(plan.get(), wanted, crowding.averageMs(), nowMs)) {
            case SEND -> Optional.of(send(job, plan.get(), nowNanos));
            case REFUSE -> Optional.of(refuse(job, "it can't be read in time"));
            case WAIT -> Optional.empty();
        };
    }

    /** Reading that waits at each engine, on the mean. */
    private double waitingMs() {
        double total = 0;
        for (EngineSeat seat : seats.values()) {
            total += seat.simulation().readingMs();
        }
        return total / Math.max(1, seats.size());
    }

    private Placement send(Job job, ReadPlan plan, long nowNanos) {
        double nowMs = ms(nowNanos);
        long outputTokens = job.prompt().map(PromptShape::maxOutputTokens).orElse(0L);
        OwnWork work = new OwnWork(nextKey++, plan.first(), plan.readers(), nowNanos, outputTokens, plan.doneMs());
        placed.put(job, work);
        job.tried().add(plan.first().id());
        double contextTokens = promptTokens(job) - plan.heldElsewhereTokens();
        RequestTraits traits =
                new RequestTraits(contextTokens, dueMs(job), lostMs(job), gapMs(job), JobWorth.of(job.prompt()));
        add(work.key, plan.first(), plan.readers(), promptTokens(job), traits, nowMs);
        String reason = String.format(
                "readers=%d held=%d dueInMs=%.0f readInMs=%.0f loss=%.2f writers=%d",
                plan.readers().size(),
                plan.heldElsewhereTokens(),
                dueMs(job) - nowMs,
                plan.doneMs() - nowMs,
                plan.loss(),
                plan.first().simulation().writers());
        List<PlacedReader> readers = plan.readers().stream().map(Reader::placed).toList();
        return new Placement.Send(job, plan.first().id(), OptionalInt.empty(), readers, reason);
    }

    private static void add(
            long key, EngineSeat first, List<Reader> readers, double promptTokens, RequestTraits traits, double nowMs) {
        ReadShare share = ReadShare.of(promptTokens, readers.size() + 1);
        double othersReadyMs = nowMs;
        for (Reader reader : readers) {
            PassSimulation simulation = reader.seat().simulation();
            othersReadyMs = Math.max(
                    othersReadyMs,
                    simulation
                            .forecast(share, Optional.empty(), LateLoss.DEFAULT, 0, nowMs)
                            .doneMs());
            simulation.addPart(key, traits, share, nowMs);
            if (reader.heldTokens() > 0) {
                reader.seat().hold(key, reader.heldTokens());
            }
        }
        first.simulation().addRequest(key, traits, share, othersReadyMs, nowMs);
    }

    private static void remove(long key, EngineSeat first, List<Reader> readers, double nowMs) {
        first.simulation().remove(key, nowMs);
        for (Reader reader : readers) {
            reader.seat().simulation().remove(key, nowMs);
            reader.seat().releaseHold(key);
        }
    }

    @Override
    public void pieceArrived(Job job, long pieces, long nowNanos) {
        job.pieceArrived(nowNanos);
        OwnWork work = placed.get(job);
        if (work == null) {
            return;
        }
        double nowMs = ms(nowNanos);
        work.first.heard(nowMs);
        if (work.writtenTokens == 0) {
            work.readers.forEach(reader -> reader.seat().simulation().remove(work.key, nowMs));
            work.first.simulation().firstTokenSeen(work.key, nowMs);
        } else {
            work.first.simulation().passEnded(nowMs);
        }
        work.writtenTokens = 1 + (pieces - 1) * profile.strideSteps();
        work.nextPieceMs = Math.max(nowMs, work.first.simulation().passEndMs());
    }

    @Override
    public List<Job> overdue(long nowNanos) {
        Map<Job, OwnWork> silent = new LinkedHashMap<>();
        Set<EngineSeat> silentSeats = new HashSet<>();
        placed.forEach((job, work) -> {
            if (work.isOverdue(ms(nowNanos))) {
                silent.put(job, work);
                silentSeats.add(work.first);
            }
        });
        if (silentSeats.size() > Math.max(1, seats.size() / MOST_SILENT_OF)) {
            return List.of();
        }
        silent.values().removeIf(work -> work.reportedOverdue);
        silent.values().forEach(work -> work.reportedOverdue = true);
        return List.copyOf(silent.keySet());
    }

    @Override
    public void helperFailed(BackendServerId server, long nowNanos) {
        EngineSeat seat = seats.get(server);
        if (seat != null) {
            seat.avoidance().failed(ms(nowNanos));
        }
    }

    @Override
    public List<Placement> ended(Job job, EndOfWork end, long nowNanos) {
        OwnWork work = placed.remove(job);
        if (work == null) {
            return List.of();
        }
        double nowMs = ms(nowNanos);
        remove(work.key, work.first, work.readers, nowMs);
        if (end == EndOfWork.BROKEN) {
            work.first.avoidance().failed(nowMs);
        } else if (end == EndOfWork.TURNED_AWAY) {
            work.first.avoidance().turnedAway(nowMs);
        }
        return tick(nowNanos);
    }

    @Override
    public void withdrawn(Job job) {
        queue.removeIf(waiting -> waiting.job == job);
    }

    @Override
    public List<Placement> tick(long nowNanos) {
        crowding.observe(waitingMs(), ms(nowNanos));
        if (queue.isEmpty()) {
            return List.of();
        }
        List<Placement> placements = new ArrayList<>();
        for (Iterator<Waiting> jobs = queue.iterator(); jobs.hasNext(); ) {
            Waiting waiting = jobs.next();
            if (nowNanos - waiting.triedAtNanos < RETRY_INTERVAL_NANOS) {
                continue;
            }
            waiting.triedAtNanos = nowNanos;
            Optional<Placement> placement = place(waiting.job, nowNanos);
            if (placement.isPresent()) {
                jobs.remove();
                placements.add(placement.get());
            } else if (hasWaitedTooLong(waiting.job, nowNanos)) {
                jobs.remove();
                placements.add(refuse(waiting.job, "no engine became free in time"));
            }
        }
        return placements;
    }

    private static boolean hasWaitedTooLong(Job job, long nowNanos) {
        return ms(nowNanos) >= lostMs(job);
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
        List<Reader> readers = readersOf(work);
        long heldElsewhere = readers.stream().mapToLong(Reader::heldTokens).sum();
        RequestTraits traits = new RequestTraits(
                (double) work.promptTokens() - heldElsewhere,
                nowMs + work.dueInMs(),
                lostMs(work, nowMs),
                work.maxGapMs(),
                JobWorth.of(work));
        if (work.writtenTokens() > 0) {
            first.simulation().addWriter(job.key(), traits, (double) work.writtenTokens(), nowMs);
            readers.forEach(reader -> reader.seat().hold(job.key(), reader.heldTokens()));
        } else {
            add(job.key(), first, readers, (double) work.promptTokens(), traits, nowMs);
        }
        return job;
    }

    private List<Reader> readersOf(PlacedWork work) {
        return work.readers().stream()
                .filter(reader -> seats.containsKey(reader.server()))
                .map(reader -> new Reader(seats.get(reader.server()), reader.heldTokens()))
                .toList();
    }

    private PeerJob updatePeerJob(PeerJob known, PlacedWork work, double nowMs) {
        boolean beganWriting = known.work().writtenTokens() == 0 && work.writtenTokens() > 0;
        EngineSeat first = seats.get(work.server());
        if (beganWriting && first != null) {
            readersOf(known.work()).forEach(reader -> reader.seat().simulation().remove(known.key(), nowMs));
            first.simulation().firstTokenSeen(known.key(), nowMs);
            return new PeerJob(known.key(), work);
        }
        return known;
    }

    private void removePeerJob(PeerJob job, double nowMs) {
        EngineSeat first = seats.get(job.work().server());
        if (first != null) {
            remove(job.key(), first, readersOf(job.work()), nowMs);
        }
    }

    @Override
    public List<PlacedWork> ownWork(long nowNanos) {
        List<PlacedWork> work = new ArrayList<>();
        placed.forEach((job, own) -> work.add(new PlacedWork(
                own.key,
                own.first.id(),
                own.placedReaders(),
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
        return ms(job.waitingSinceNanos() + job.onTimeNanos());
    }

    /** Callers wait for a few times the target or the longest pause, and no longer than they said. */
    private static double lostMs(Job job) {
        double ofTargetMs = PATIENCE_TARGETS * ms(job.targetLatencyNanos());
        double ofGapMs = PATIENCE_GAPS * ms(job.maxGapNanos());
        double patienceMs = Math.max(MIN_PATIENCE_MS, Math.max(ofTargetMs, ofGapMs));
        return Math.min(ms(job.deadline().atNanos()), ms(job.waitingSinceNanos()) + patienceMs);
    }

    /** The same for a request of another host, whose target follows from when it was sent and when it is due. */
    private static double lostMs(PlacedWork work, double nowMs) {
        double targetMs = Math.max(0, work.sentAgoMs() + work.dueInMs());
        return nowMs - work.sentAgoMs() + Math.max(MIN_PATIENCE_MS, PATIENCE_TARGETS * targetMs);
    }

    private static double gapMs(Job job) {
        return ms(job.maxGapNanos());
    }

    private static double ms(long nanos) {
        return nanos / 1e6;
    }
}

package io.figspan.policy.placing;

import io.figspan.core.error.Problem;
import io.figspan.core.error.ProblemKind;
import io.figspan.core.id.BackendServerId;
import io.figspan.core.id.HostId;
import io.figspan.core.work.PlacedReader;
import io.figspan.core.work.PlacedWork;
import io.figspan.policy.engine.LateLoss;
import io.figspan.policy.engine.PassSimulation.RequestTraits;
import io.figspan.policy.engine.ReadShare;
import io.figspan.policy.placing.ReadPlan.Reader;
import io.figspan.settings.gateway.EngineProfile;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Collections;
import java.util.HashSet;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.Queue;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.random.RandomGenerator;

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

    private static final double PERCENT = 100;

    /** When more engines than one in so many are silent, they read a prompt together, or this host is cut off. */
    private static final int MOST_SILENT_OF = 4;

    private final EngineProfile profile;
    private final ReadPlanner planner = new ReadPlanner(LateLoss.DEFAULT);
    private final RandomGenerator random;
    private final Map<BackendServerId, EngineSeat> seats = new LinkedHashMap<>();
    private final Map<Job, OwnWork> placed = new LinkedHashMap<>();
    private long nextKey = 1;
    private final PeerJobs peers = new PeerJobs(seats, this::takeKey);
    private final Crowding crowding = new Crowding();
    private final Queue<Waiting> queue = new ArrayDeque<>();

    /** A job that waits, and when a place was last looked for. */
    private static final class Waiting {
        final Job job;
        final long lookIntervalNanos;
        long triedAtNanos;

        Waiting(Job job, long lookIntervalNanos, long triedAtNanos) {
            this.job = job;
            this.lookIntervalNanos = lookIntervalNanos;
            this.triedAtNanos = triedAtNanos;
        }
    }

    /**
     * A placer without engines.
     *
     * @param random orders engines that are equally good; hosts must not all begin with the same one
     */
    public EnginePlacer(EngineProfile profile, RandomGenerator random) {
        this.profile = profile;
        this.random = random;
    }

    private long takeKey() {
        return nextKey++;
    }

    // Engines

    @Override
    public void serversChanged(List<ServerSeat> servers, long nowNanos) {
        seats.values().forEach(seat -> seat.setOpen(false));
        for (ServerSeat server : shuffled(servers)) {
            EngineSeat seat =
                    seats.computeIfAbsent(server.id(), id -> new EngineSeat(id, profile, Millis.of(nowNanos)));
            seat.setOpen(true);
            seat.setSlots(server.slots());
        }
        seats.values().removeIf(seat -> !seat.isOpen() && seat.isIdle());
    }

    private List<ServerSeat> shuffled(List<ServerSeat> servers) {
        List<ServerSeat> shuffled = new ArrayList<>(servers);
        Collections.shuffle(shuffled, new Random(random.nextLong()));
        return shuffled;
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
        double readMs = ReadShare.of(promptTokens(job), 1).readMs(profile);
        queue.add(new Waiting(job, LookInterval.nanos(readMs), nowNanos));
        return List.of();
    }

    private Optional<Placement> place(Job job, long nowNanos) {
        double nowMs = Millis.of(nowNanos);
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
                promptTokens, memoryTokens, dueMs(job), Patience.endMs(job), gapMs(job), JobWorth.of(job.prompt()));
        Optional<ReadPlan> plan = planner.plan(wanted, firsts, helpers, nowMs);
        if (plan.isEmpty()) {
            return Optional.empty();
        }
        return switch (SendRule.decide(plan.get(), wanted, crowding.averageMs(), nowMs)) {
            case SEND -> Optional.of(send(job, plan.get(), wanted, nowNanos));
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

    private Placement send(Job job, ReadPlan plan, ReadPlanner.Wanted wanted, long nowNanos) {
        double nowMs = Millis.of(nowNanos);
        long outputTokens = job.prompt().map(PromptShape::maxOutputTokens).orElse(0L);
        OwnWork work = new OwnWork(takeKey(), plan.first(), plan.readers(), nowNanos, outputTokens, plan.doneMs());
        placed.put(job, work);
        job.tried().add(plan.first().id());
        RequestTraits traits = wanted.traits(wanted.promptTokens() - plan.heldElsewhereTokens());
        SeatWork.add(work.key, plan.first(), plan.readers(), wanted.promptTokens(), traits, nowMs);
        String reason = "readers=" + plan.readers().size()
                + " held=" + plan.heldElsewhereTokens()
                + " dueInMs=" + Math.round(wanted.dueMs() - nowMs)
                + " readInMs=" + Math.round(plan.doneMs() - nowMs)
                + " lossPercent=" + Math.round(plan.loss() * PERCENT)
                + " writers=" + plan.first().simulation().writers();
        List<PlacedReader> readers = plan.readers().stream().map(Reader::placed).toList();
        return new Placement.Send(job, plan.first().id(), OptionalInt.empty(), readers, reason);
    }

    @Override
    public void pieceArrived(Job job, long pieces, long nowNanos) {
        job.pieceArrived(nowNanos);
        OwnWork work = placed.get(job);
        if (work == null) {
            return;
        }
        double nowMs = Millis.of(nowNanos);
        work.first.heard(nowMs);
        if (work.writtenTokens == 0) {
            work.readers.forEach(reader -> reader.seat().simulation().remove(work.key, nowMs));
            work.first.simulation().firstTokenSeen(work.key, nowMs);
        } else {
            work.first.simulation().passEnded(nowMs);
        }
        work.writtenTokens = 1 + (pieces - 1) * profile.decodeStepsPerPass();
        work.nextPieceMs = Math.max(nowMs, work.first.simulation().passEndMs());
    }

    @Override
    public List<Job> overdue(long nowNanos) {
        Map<Job, OwnWork> silent = new LinkedHashMap<>();
        Set<EngineSeat> silentSeats = new HashSet<>();
        placed.forEach((job, work) -> {
            if (work.isOverdue(Millis.of(nowNanos))) {
                silent.put(job, work);
                silentSeats.add(work.first);
            }
        });
        if (silentSeats.size() > Math.max(1, seats.size() / MOST_SILENT_OF)) {
            return List.of();
        }
        List<Job> overdue = new ArrayList<>();
        silent.forEach((job, work) -> {
            if (!work.reportedOverdue && hasOtherEngine(job, nowNanos)) {
                work.reportedOverdue = true;
                overdue.add(job);
            }
        });
        return overdue;
    }

    private boolean hasOtherEngine(Job job, long nowNanos) {
        return seats.values().stream()
                .anyMatch(seat -> seat.isUsable(Millis.of(nowNanos)) && seat.hasSlot() && job.maySendTo(seat.id()));
    }

    @Override
    public void helperFailed(BackendServerId server, long nowNanos) {
        EngineSeat seat = seats.get(server);
        if (seat != null) {
            seat.avoidance().failed(Millis.of(nowNanos));
        }
    }

    @Override
    public List<Placement> ended(Job job, EndOfWork end, long nowNanos) {
        OwnWork work = placed.remove(job);
        if (work == null) {
            return List.of();
        }
        double nowMs = Millis.of(nowNanos);
        SeatWork.remove(work.key, work.first, work.readers, nowMs);
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
        crowding.observe(waitingMs(), Millis.of(nowNanos));
        if (queue.isEmpty()) {
            return List.of();
        }
        List<Placement> placements = new ArrayList<>();
        for (Iterator<Waiting> jobs = queue.iterator(); jobs.hasNext(); ) {
            Waiting waiting = jobs.next();
            if (nowNanos - waiting.triedAtNanos < waiting.lookIntervalNanos) {
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
        return Millis.of(nowNanos) >= Patience.endMs(job);
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
        peers.replace(host, work, Millis.of(nowNanos));
        return tick(nowNanos);
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
                (long) (dueMs(job) - Millis.of(nowNanos)),
                (long) gapMs(job))));
        return work;
    }

    // Units

    private static double promptTokens(Job job) {
        return job.prompt().map(PromptShape::promptTokens).orElse(0L);
    }

    private static double dueMs(Job job) {
        return Millis.of(job.waitingSinceNanos() + job.onTimeNanos());
    }

    private static double gapMs(Job job) {
        return Millis.of(job.maxGapNanos());
    }
}

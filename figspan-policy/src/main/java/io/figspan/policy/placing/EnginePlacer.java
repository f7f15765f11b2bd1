package io.figspan.policy.placing;

import io.figspan.core.error.Problem;
import io.figspan.core.error.ProblemKind;
import io.figspan.core.id.BackendServerId;
import io.figspan.core.id.HostId;
import io.figspan.core.work.PlacedRequest;
import io.figspan.core.work.PrefillReader;
import io.figspan.policy.engine.EngineSimulation.RequestTraits;
import io.figspan.policy.engine.LatenessLoss;
import io.figspan.policy.engine.PrefillShare;
import io.figspan.policy.placing.PrefillPlan.Helper;
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
 * Places prompts on model engines. A simulation tracks the load of each engine from the requests that this host sent
 * there and those that the other hosts report; each prompt is sent by the {@link PrefillPlan} with the lowest expected
 * loss. Designed for loads in which prompts of very different lengths come in bursts.
 */
public final class EnginePlacer implements Placer {
    /** Maximum queue length; each queued job occupies memory for its request body. */
    static final int MAX_WAITING = 256;

    /** Retry delay sent to the caller of a prompt that found no engine. */
    static final long RETRY_AFTER_MS = 400;

    private static final double PERCENT = 100;

    /**
     * When more than one in this many engines are silent, they are prefilling one prompt together or this host is
     * partitioned, so none is reported as overdue.
     */
    private static final int MAX_SILENT_DIVISOR = 4;

    private final EngineProfile profile;
    private final PrefillPlanner planner = new PrefillPlanner(LatenessLoss.DEFAULT);
    private final RandomGenerator random;
    private final RequestGate gate;
    private final Map<BackendServerId, EngineState> engines = new LinkedHashMap<>();
    private final Map<Job, PlacedJob> placedJobs = new LinkedHashMap<>();
    private final SilentJobs silentJobs = new SilentJobs();
    private long nextKey = 1;
    private final PeerJobs peerJobs = new PeerJobs(engines, this::takeKey);
    private final BacklogAverage backlogAverage = new BacklogAverage();
    private final Queue<WaitingJob> queue = new ArrayDeque<>();

    /** A queued job, and when its placement was last tried. */
    private static final class WaitingJob {
        final Job job;
        final long retryIntervalNanos;
        long lastTriedNanos;

        WaitingJob(Job job, long retryIntervalNanos, long lastTriedNanos) {
            this.job = job;
            this.retryIntervalNanos = retryIntervalNanos;
            this.lastTriedNanos = lastTriedNanos;
        }
    }

    /** Creates a placer without engines whose requests are not limited. */
    public EnginePlacer(EngineProfile profile, RandomGenerator random) {
        this(profile, random, RequestGate.OPEN);
    }

    /**
     * Creates a placer without engines.
     *
     * @param random breaks ties between equally good engines, so that hosts don't all start with the same one
     * @param gate tells which engines accept another request, or hold memory for one, now
     */
    public EnginePlacer(EngineProfile profile, RandomGenerator random, RequestGate gate) {
        this.profile = profile;
        this.random = random;
        this.gate = gate;
    }

    private long takeKey() {
        return nextKey++;
    }

    // Engines

    @Override
    public void serversChanged(List<AvailableServer> servers, long nowNanos) {
        engines.values().forEach(engine -> engine.setAvailable(false));
        for (AvailableServer server : shuffled(servers)) {
            EngineState engine =
                    engines.computeIfAbsent(server.id(), id -> new EngineState(id, profile, Millis.of(nowNanos)));
            engine.setAvailable(true);
            engine.setSlots(server.slots());
        }
        engines.values().removeIf(engine -> !engine.isAvailable() && engine.isIdle());
    }

    private List<AvailableServer> shuffled(List<AvailableServer> servers) {
        List<AvailableServer> shuffled = new ArrayList<>(servers);
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
        double prefillMs = PrefillShare.of(promptTokens(job), 1).prefillMs(profile);
        queue.add(new WaitingJob(job, PlacementRetryInterval.nanos(prefillMs), nowNanos));
        return List.of();
    }

    private Optional<Placement> place(Job job, long nowNanos) {
        double nowMs = Millis.of(nowNanos);
        double promptTokens = promptTokens(job);
        double memoryTokens = job.prompt().map(PromptLengths::maxMemoryTokens).orElse(0L);
        if (engines.isEmpty()) {
            return Optional.of(refuse(job, "no engine is known"));
        }
        Optional<Placement> refusal = ClosedServers.refusal(job, availableEngines(), gate, nowNanos);
        if (refusal.isPresent()) {
            return refusal;
        }
        if (job.pinnedServer().filter(server -> !isAvailable(server)).isPresent()) {
            job.unpin();
        }
        List<EngineState> helperCandidates = new ArrayList<>();
        List<EngineState> primaryCandidates = new ArrayList<>();
        for (EngineState engine : engines.values()) {
            if (!engine.isUsable(nowMs) || !engine.canHelp() || !gate.admits(engine.id(), nowNanos)) {
                continue;
            }
            helperCandidates.add(engine);
            if (engine.hasFreeSlot() && job.maySendTo(engine.id())) {
                primaryCandidates.add(engine);
            }
        }
        PrefillPlanner.PrefillRequest request = new PrefillPlanner.PrefillRequest(
                promptTokens,
                memoryTokens,
                dueMs(job),
                CallerPatience.abandonMs(job),
                maxGapMs(job),
                JobWeight.of(job.prompt()));
        Optional<PrefillPlan> plan = planner.plan(request, primaryCandidates, helperCandidates, nowMs);
        if (plan.isEmpty()) {
            return Optional.empty();
        }
        return switch (PrefillAdmission.decide(plan.get(), request, backlogAverage.averageMs(), nowMs)) {
            case SEND -> Optional.of(send(job, plan.get(), request, nowNanos));
            case REFUSE -> Optional.of(refuse(job, "it can't be read in time"));
            case WAIT -> Optional.empty();
        };
    }

    private List<BackendServerId> availableEngines() {
        return engines.values().stream()
                .filter(EngineState::isAvailable)
                .map(EngineState::id)
                .toList();
    }

    private boolean isAvailable(BackendServerId server) {
        EngineState engine = engines.get(server);
        return engine != null && engine.isAvailable();
    }

    /** Mean prefill backlog per engine. */
    private double meanBacklogMs() {
        double total = 0;
        for (EngineState engine : engines.values()) {
            total += engine.simulation().prefillBacklogMs();
        }
        return total / Math.max(1, engines.size());
    }

    private Placement send(Job job, PrefillPlan plan, PrefillPlanner.PrefillRequest request, long nowNanos) {
        double nowMs = Millis.of(nowNanos);
        long outputTokens = job.prompt().map(PromptLengths::maxOutputTokens).orElse(0L);
        RequestTraits traits = request.traits(request.promptTokens() - plan.heldElsewhereTokens());
        PlacedJob placedJob =
                new PlacedJob(takeKey(), plan.primary(), plan.helpers(), nowNanos, outputTokens, traits, plan.doneMs());
        placedJobs.put(job, placedJob);
        job.tried().add(plan.primary().id());
        recordSent(plan, nowNanos);
        SimulatedRequests.add(placedJob.key, plan.primary(), plan.helpers(), request.promptTokens(), traits, nowMs);
        String reason = "readers=" + plan.helpers().size()
                + " held=" + plan.heldElsewhereTokens()
                + " dueInMs=" + Math.round(request.dueMs() - nowMs)
                + " readInMs=" + Math.round(plan.doneMs() - nowMs)
                + " lossPercent=" + Math.round(plan.totalLoss() * PERCENT)
                + " writers=" + plan.primary().simulation().decodingRequests();
        List<PrefillReader> helpers =
                plan.helpers().stream().map(Helper::toPrefillReader).toList();
        return new Placement.Send(job, plan.primary().id(), OptionalInt.empty(), helpers, reason);
    }

    /** Counts the request, and those that reserve memory for it at other engines. */
    private void recordSent(PrefillPlan plan, long nowNanos) {
        gate.sent(plan.primary().id(), nowNanos);
        plan.helpers().stream()
                .filter(helper -> helper.heldTokens() > 0)
                .forEach(helper -> gate.sent(helper.engine().id(), nowNanos));
    }

    @Override
    public void pieceArrived(Job job, long pieces, long nowNanos) {
        job.pieceArrived(nowNanos);
        PlacedJob placedJob = placedJobs.get(job);
        if (placedJob == null) {
            return;
        }
        double nowMs = Millis.of(nowNanos);
        placedJob.primary.outputReceived(nowMs);
        if (placedJob.generatedTokens == 0) {
            placedJob.helpers.forEach(helper -> helper.engine().simulation().remove(placedJob.key, nowMs));
            placedJob.primary.simulation().firstTokenSeen(placedJob.key, nowMs);
        } else {
            placedJob.primary.simulation().passEnded(nowMs);
        }
        placedJob.reportedOverdue = false;
        placedJob.generatedTokens = 1 + (pieces - 1) * profile.decodeStepsPerPass();
        placedJob.nextPieceDueMs =
                Math.max(nowMs, placedJob.primary.simulation().passEndMs());
    }

    @Override
    public List<Job> overdue(long nowNanos) {
        Map<Job, PlacedJob> silent = new LinkedHashMap<>();
        Set<EngineState> silentEngines = new HashSet<>();
        placedJobs.forEach((job, placedJob) -> {
            if (placedJob.isOverdue(Millis.of(nowNanos))) {
                silent.put(job, placedJob);
                silentEngines.add(placedJob.primary);
            }
        });
        if (silentEngines.size() > Math.max(1, engines.size() / MAX_SILENT_DIVISOR)) {
            return List.of();
        }
        List<Job> overdue = new ArrayList<>();
        silent.forEach((job, placedJob) -> {
            if (!placedJob.reportedOverdue && hasOtherEngine(job, nowNanos)) {
                placedJob.reportedOverdue = true;
                overdue.add(job);
            }
        });
        return overdue;
    }

    private boolean hasOtherEngine(Job job, long nowNanos) {
        return engines.values().stream()
                .anyMatch(engine -> engine.isUsable(Millis.of(nowNanos))
                        && engine.hasFreeSlot()
                        && job.maySendTo(engine.id())
                        && gate.admits(engine.id(), nowNanos));
    }

    @Override
    public void helperFailed(BackendServerId server, long nowNanos) {
        EngineState engine = engines.get(server);
        if (engine != null) {
            engine.failureBackoff().recordFailure(Millis.of(nowNanos));
        }
    }

    @Override
    public List<Placement> ended(Job job, AttemptOutcome outcome, long nowNanos) {
        PlacedJob placedJob = placedJobs.remove(job);
        if (placedJob == null) {
            return List.of();
        }
        double nowMs = Millis.of(nowNanos);
        SimulatedRequests.remove(placedJob.key, placedJob.primary, placedJob.helpers, nowMs);
        if (outcome == AttemptOutcome.SILENT) {
            silentJobs.add(job, placedJob);
        }
        if (outcome == AttemptOutcome.BROKEN || outcome == AttemptOutcome.SILENT) {
            placedJob.primary.failureBackoff().recordFailure(nowMs);
        } else if (outcome == AttemptOutcome.TURNED_AWAY) {
            placedJob.primary.failureBackoff().recordRejection(nowMs);
        }
        return tick(nowNanos);
    }

    @Override
    public void resumed(Job job, BackendServerId server, long nowNanos) {
        double nowMs = Millis.of(nowNanos);
        silentJobs.remove(job, server).ifPresent(placedJob -> {
            placedJob.reportedOverdue = false;
            placedJob.nextPieceDueMs = nowMs;
            placedJobs.put(job, placedJob);
            SimulatedRequests.addResumed(placedJob, nowMs);
        });
    }

    @Override
    public void forgotten(Job job) {
        silentJobs.removeAll(job);
    }

    @Override
    public void withdrawn(Job job) {
        queue.removeIf(waiting -> waiting.job == job);
    }

    @Override
    public List<Job> takeWaiting() {
        List<Job> waitingJobs = queue.stream().map(waiting -> waiting.job).toList();
        queue.clear();
        return waitingJobs;
    }

    @Override
    public List<Placement> tick(long nowNanos) {
        backlogAverage.observe(meanBacklogMs(), Millis.of(nowNanos));
        if (queue.isEmpty()) {
            return List.of();
        }
        List<Placement> placements = new ArrayList<>();
        for (Iterator<WaitingJob> waitingJobs = queue.iterator(); waitingJobs.hasNext(); ) {
            WaitingJob waiting = waitingJobs.next();
            if (nowNanos - waiting.lastTriedNanos < waiting.retryIntervalNanos) {
                continue;
            }
            waiting.lastTriedNanos = nowNanos;
            Optional<Placement> placement = place(waiting.job, nowNanos);
            if (placement.isPresent()) {
                waitingJobs.remove();
                placements.add(placement.get());
            } else if (isAbandoned(waiting.job, nowNanos)) {
                waitingJobs.remove();
                placements.add(refuse(waiting.job, "no engine became free in time"));
            }
        }
        return placements;
    }

    private static boolean isAbandoned(Job job, long nowNanos) {
        return Millis.of(nowNanos) >= CallerPatience.abandonMs(job);
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
    public List<Placement> peerWork(HostId host, List<PlacedRequest> work, long nowNanos) {
        peerJobs.replace(host, work, Millis.of(nowNanos));
        return tick(nowNanos);
    }

    @Override
    public List<PlacedRequest> ownWork(long nowNanos) {
        List<PlacedRequest> work = new ArrayList<>();
        placedJobs.forEach((job, placedJob) -> work.add(new PlacedRequest(
                placedJob.key,
                placedJob.primary.id(),
                placedJob.prefillReaders(),
                (long) promptTokens(job),
                placedJob.outputTokens,
                placedJob.generatedTokens,
                Math.max(0, TimeUnit.NANOSECONDS.toMillis(nowNanos - placedJob.sentNanos)),
                (long) (dueMs(job) - Millis.of(nowNanos)),
                (long) maxGapMs(job))));
        return work;
    }

    // Units

    private static double promptTokens(Job job) {
        return job.prompt().map(PromptLengths::promptTokens).orElse(0L);
    }

    private static double dueMs(Job job) {
        return Millis.of(job.waitingSinceNanos() + job.allowedWaitNanos());
    }

    private static double maxGapMs(Job job) {
        return Millis.of(job.maxGapNanos());
    }
}

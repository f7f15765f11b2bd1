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
import io.figspan.policy.placing.PrefillPlanner.PrefillRequest;
import io.figspan.settings.gateway.EngineProfile;
import io.figspan.settings.gateway.PrefixRetention;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.concurrent.TimeUnit;
import java.util.random.RandomGenerator;

/**
 * Places prompts on model engines. A simulation tracks the load of each engine from the requests that this host sent
 * there and those that the other hosts report; each prompt is sent by the {@link PrefillPlan} with the lowest expected
 * loss. Designed for loads in which prompts of very different lengths come in bursts. While jobs are queued, the
 * organisations that have work share the capacity (docs/design/fair-admission.md).
 */
public final class EnginePlacer implements Placer {
    /** Retry delay sent to the caller of a prompt that found no engine. */
    static final long RETRY_AFTER_MS = 400;

    /** Callers honour retry times up to this part of the time that they have left. */
    private static final long RETRY_TIME_DIVISOR = 3;

    private static final double PERCENT = 100;

    private final EngineProfile profile;
    private final PrefillPlanner planner = new PrefillPlanner(LatenessLoss.DEFAULT);
    private final RandomGenerator random;
    private final RequestGate gate;
    private final EngineFleet fleet;
    private final CachedPrefill cachedPrefill;
    private final Map<Job, PlacedJob> placedJobs = new LinkedHashMap<>();
    private final SilentJobs silentJobs = new SilentJobs();
    private long nextKey = 1;
    private final PeerJobs peerJobs;
    private final BacklogAverage backlogAverage = new BacklogAverage();
    private final WaitingJobs waiting = new WaitingJobs();
    private final OrganisationWork work = new OrganisationWork();
    private final ShareLimits shareLimits = new ShareLimits();

    /** Creates a placer without engines whose requests are not limited. */
    public EnginePlacer(EngineProfile profile, RandomGenerator random) {
        this(profile, random, RequestGate.OPEN, Optional.empty());
    }

    /**
     * Creates a placer without engines.
     *
     * @param random breaks ties between equally good engines, so that hosts don't all start with the same one
     * @param gate tells which engines accept another request, or hold memory for one, now
     * @param retention how long the engines keep prefixes; empty if placement takes no account of them
     */
    public EnginePlacer(
            EngineProfile profile, RandomGenerator random, RequestGate gate, Optional<PrefixRetention> retention) {
        this.profile = profile;
        this.random = random;
        this.gate = gate;
        this.fleet = new EngineFleet(profile, random, gate);
        this.cachedPrefill = new CachedPrefill(retention);
        this.peerJobs = new PeerJobs(fleet.byId(), this::takeKey);
    }

    private long takeKey() {
        return nextKey++;
    }

    // Engines

    @Override
    public void serversChanged(List<AvailableServer> servers, long nowNanos) {
        fleet.serversChanged(servers, nowNanos);
        cachedPrefill.enginesChanged(servers, fleet.byId().keySet());
    }

    // Jobs

    @Override
    public List<Placement> arrived(Job job, long nowNanos) {
        Optional<Placement> placement = place(job, nowNanos);
        if (placement.isPresent()) {
            if (placement.get() instanceof Placement.Send) {
                waiting.sentDirectly(job);
            }
            return List.of(placement.get());
        }
        double prefillMs = PrefillShare.of(job.promptTokens(), 1).prefillMs(profile);
        return waiting.add(job, PlacementRetryInterval.nanos(prefillMs), nowNanos)
                .map(displaced -> List.of(displace(displaced, nowNanos)))
                .orElse(List.of());
    }

    private Placement displace(Job job, long nowNanos) {
        String reason = "too many requests wait";
        if (job.organisation().isEmpty()) {
            return refuse(job, reason, RETRY_AFTER_MS);
        }
        shareLimits.refused(job, nowNanos);
        long longestMs = job.deadline().leftMs(nowNanos) / RETRY_TIME_DIVISOR;
        long spreadMs = longestMs > RETRY_AFTER_MS ? random.nextLong(longestMs - RETRY_AFTER_MS) : 0;
        return refuse(job, reason + ", most of them from " + job.organisation().get(), RETRY_AFTER_MS + spreadMs);
    }

    private Optional<Placement> place(Job job, long nowNanos) {
        if (fleet.size() == 0) {
            return Optional.of(refuse(job, "no engine is known"));
        }
        Optional<Placement> refusal = ClosedServers.refusal(job, fleet.available(), gate, nowNanos);
        if (refusal.isPresent()) {
            return refusal;
        }
        if (job.pinnedServer().filter(server -> !fleet.isAvailable(server)).isPresent()) {
            job.unpin();
        }
        EngineFleet.Candidates candidates = fleet.candidatesFor(job, nowNanos);
        job.setAwaitsSlot(candidates.freeSlots() == 0);
        FairShare share = waiting.shareOf(OrganisationWork.ownerOf(job), work);
        if (PrefillAdmission.leavesSlotsToOthers(share, candidates.freeSlots())) {
            return holdBack(job, nowNanos);
        }
        return place(job, candidates, share, nowNanos);
    }

    private Optional<Placement> place(Job job, EngineFleet.Candidates candidates, FairShare share, long nowNanos) {
        double nowMs = Millis.of(nowNanos);
        SavedPrefill saved = cachedPrefill.of(job, candidates.primaries(), nowNanos);
        PrefillRequest request = PrefillRequest.of(job, saved);
        Optional<PrefillPlan> plan = planner.plan(request, candidates.primaries(), candidates.helpers(), nowMs);
        if (plan.isEmpty()) {
            return Optional.empty();
        }
        return switch (PrefillAdmission.decide(plan.get(), request, backlogAverage.averageMs(), share, nowMs)) {
            case SEND -> Optional.of(send(job, plan.get(), request, nowNanos));
            case REFUSE -> Optional.of(refuse(job, "it can't be read in time"));
            case WAIT -> Optional.empty();
            case HOLD_BACK -> holdBack(job, nowNanos);
        };
    }

    private Optional<Placement> holdBack(Job job, long nowNanos) {
        shareLimits.heldBack(job, nowNanos);
        return Optional.empty();
    }

    private Placement send(Job job, PrefillPlan plan, PrefillRequest request, long nowNanos) {
        double nowMs = Millis.of(nowNanos);
        long outputTokens = job.prompt().map(PromptLengths::maxOutputTokens).orElse(0L);
        RequestTraits traits = request.traits(request.promptTokens() - plan.heldElsewhereTokens());
        double latestDoneMs = request.latestDoneMs(plan);
        PlacedJob placedJob =
                new PlacedJob(takeKey(), plan.primary(), plan.helpers(), nowNanos, outputTokens, traits, latestDoneMs);
        started(job, placedJob);
        job.tried().add(plan.primary().id());
        recordSent(plan, nowNanos);
        SimulatedRequests.add(placedJob.key, plan.primary(), plan.helpers(), request.promptTokens(), traits, nowMs);
        String reason = "readers=" + plan.helpers().size()
                + " held=" + plan.heldElsewhereTokens()
                + " dueInMs=" + Math.round(request.dueMs() - nowMs)
                + " readInMs=" + Math.round(plan.doneMs() - nowMs)
                + " lossPercent=" + Math.round(plan.totalLoss() * PERCENT)
                + " writers=" + plan.primary().simulation().decodingRequests()
                + request.saved().reason(plan);
        List<PrefillReader> helpers =
                plan.helpers().stream().map(Helper::toPrefillReader).toList();
        return new Placement.Send(job, plan.primary().id(), OptionalInt.empty(), helpers, reason);
    }

    private void started(Job job, PlacedJob placedJob) {
        if (placedJobs.put(job, placedJob) == null) {
            work.started(job);
            cachedPrefill.started(job, placedJob.primary);
        }
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
        return OverdueJobs.find(placedJobs, fleet, nowNanos);
    }

    @Override
    public void helperFailed(BackendServerId server, long nowNanos) {
        fleet.find(server).ifPresent(engine -> engine.failureBackoff().recordFailure(Millis.of(nowNanos)));
    }

    @Override
    public List<Placement> ended(Job job, AttemptOutcome outcome, long nowNanos) {
        PlacedJob placedJob = placedJobs.remove(job);
        if (placedJob == null) {
            return List.of();
        }
        work.ended(job);
        cachedPrefill.ended(job, placedJob.primary, outcome, nowNanos);
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
            started(job, placedJob);
            SimulatedRequests.addResumed(placedJob, nowMs);
        });
    }

    @Override
    public void forgotten(Job job) {
        silentJobs.removeAll(job);
    }

    @Override
    public void withdrawn(Job job) {
        waiting.remove(job);
    }

    @Override
    public List<Job> takeWaiting() {
        return waiting.takeAll();
    }

    @Override
    public List<Placement> tick(long nowNanos) {
        backlogAverage.observe(fleet.meanBacklogMs(), Millis.of(nowNanos));
        if (waiting.size() == 0) {
            return List.of();
        }
        return waiting.retry(job -> retry(job, nowNanos), nowNanos);
    }

    private Optional<Placement> retry(Job job, long nowNanos) {
        Optional<Placement> placement = place(job, nowNanos);
        if (placement.isEmpty() && isAbandoned(job, nowNanos)) {
            return Optional.of(refuse(job, "no engine became free in time"));
        }
        return placement;
    }

    private static boolean isAbandoned(Job job, long nowNanos) {
        return Millis.of(nowNanos) >= CallerPatience.abandonMs(job);
    }

    @Override
    public int waiting() {
        return waiting.size();
    }

    @Override
    public List<ShareChange> shareChanges(long nowNanos) {
        return shareLimits.takeChanges(nowNanos);
    }

    private static Placement refuse(Job job, String reason) {
        return refuse(job, reason, RETRY_AFTER_MS);
    }

    private static Placement refuse(Job job, String reason, long retryAfterMs) {
        Problem problem = Problem.notRun(ProblemKind.OVERLOADED, reason).withRetryAfterMs(retryAfterMs);
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
        List<PlacedRequest> placed = new ArrayList<>();
        placedJobs.forEach((job, placedJob) -> placed.add(new PlacedRequest(
                placedJob.key,
                placedJob.primary.id(),
                placedJob.prefillReaders(),
                (long) job.promptTokens(),
                placedJob.outputTokens,
                placedJob.generatedTokens,
                Math.max(0, TimeUnit.NANOSECONDS.toMillis(nowNanos - placedJob.sentNanos)),
                (long) (dueMs(job) - Millis.of(nowNanos)),
                (long) maxGapMs(job))));
        return placed;
    }

    // Units

    private static double dueMs(Job job) {
        return Millis.of(job.waitingSinceNanos() + job.allowedWaitNanos());
    }

    private static double maxGapMs(Job job) {
        return Millis.of(job.maxGapNanos());
    }
}

package io.figspan.policy.placing;

import io.figspan.policy.engine.EngineSimulation.Forecast;
import io.figspan.policy.engine.EngineSimulation.RequestTraits;
import io.figspan.policy.engine.LatenessLoss;
import io.figspan.policy.engine.PrefillShare;
import io.figspan.policy.placing.PrefillPlan.Helper;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;

/**
 * Chooses the primary engine of a request and the helpers that prefill shares of its prompt. The plan with the lowest
 * expected loss wins; the loss is that of the request itself plus that of the requests it would delay. Designed for
 * loads in which short prompts with tight gap limits share the engines with prompts that take seconds to prefill, some
 * of them longer than one engine's memory.
 */
final class PrefillPlanner {
    /** Numbers of helpers to evaluate; an engine accepts 16 at most. */
    private static final int[] HELPER_COUNTS = {0, 1, 3, 5, 7, 11, 16};

    /**
     * A prompt that one engine prefills within this time is split only if its expected loss would otherwise exceed
     * {@link #LOSS_PER_HELPER}.
     */
    private static final double SHORT_PREFILL_MS = 60;

    /** Loss charged for each helper, since every engine of a plan has to stay alive for the answer. */
    private static final double LOSS_PER_HELPER = 0.02;

    /** Loss charged when an engine gets a tighter gap limit, since long prompts can then no longer prefill there. */
    private static final double TIGHTER_GAP_LOSS = 0.5;

    /** Tie-breaker between engines with equal loss: the earlier forecast wins. */
    private static final double LOSS_PER_MS = 1e-5;

    /** A gap limit of this length or less keeps long prompts away from an engine. */
    private static final double SHORT_GAP_MS = 250;

    /** Maximum number of helpers that hold memory for one request. */
    private static final int MAX_MEMORY_HELPERS = 7;

    /** Usable fraction of the free memory, since the requests on the engine go on decoding. */
    private static final double USABLE_MEMORY_FRACTION = 0.95;

    /**
     * Loss of requests still to come when an engine prefills for one second. They wait for all prefill on the engine,
     * so the loss grows with the square of it. The term caused by the present backlog could be avoided by waiting and
     * therefore counts as loss to others.
     */
    private static final double BLOCKING_LOSS_PER_SQUARE_SECOND = 0.5;

    private static final double MS_PER_SECOND = 1_000;

    private final LatenessLoss latenessLoss;

    PrefillPlanner(LatenessLoss latenessLoss) {
        this.latenessLoss = latenessLoss;
    }

    /**
     * The request to plan. Times are milliseconds on the placer's clock.
     *
     * @param memoryTokens maximum memory that the request needs, prompt and answer together
     * @param dueMs time after which the first token is late
     * @param abandonMs time at which the caller has given up
     * @param maxGapMs longest gap within the answer that is on time; 0 when there is no limit
     * @param weight value of an answer on time
     * @param saved prefill that engines save because they hold a prefix of the prompt
     */
    record PrefillRequest(
            double promptTokens,
            double memoryTokens,
            double dueMs,
            double abandonMs,
            double maxGapMs,
            double weight,
            SavedPrefill saved) {
        static PrefillRequest of(Job job, SavedPrefill saved) {
            return new PrefillRequest(
                    job.promptTokens(),
                    job.prompt().map(PromptLengths::maxMemoryTokens).orElse(0L),
                    Millis.of(job.waitingSinceNanos() + job.allowedWaitNanos()),
                    CallerPatience.abandonMs(job),
                    Millis.of(job.maxGapNanos()),
                    JobWeight.of(job.prompt()),
                    saved);
        }

        /** Returns the share of an engine when {@code engines} engines prefill the prompt together. */
        PrefillShare share(EngineState engine, int engines) {
            return saved.share(promptTokens, engine, engines);
        }

        /** Returns when the prompt is prefilled even if the engine turns out not to hold the prefix. */
        double latestDoneMs(PrefillPlan plan) {
            return plan.helpers().isEmpty()
                    ? plan.doneMs() + saved.savedMs(promptTokens, plan.primary())
                    : plan.doneMs();
        }

        /** The traits of the request on an engine that holds {@code contextTokens} of the prompt in memory. */
        RequestTraits traits(double contextTokens) {
            return new RequestTraits(contextTokens, dueMs, abandonMs, maxGapMs, weight);
        }
    }

    /**
     * An engine that may take part.
     *
     * @param baselineLoss loss of the requests already on the engine without the new one
     */
    private record EligibleEngine(EngineState engine, boolean mayBePrimary, double baselineLoss) {}

    /** An eligible engine with its forecast for one share of the prefill. */
    private record Candidate(
            EngineState engine, boolean mayBePrimary, Forecast forecast, double lossToOthers, double totalLoss) {}

    /**
     * Returns the plan with the lowest loss, or empty when no engine can run the request now. When no engine has enough
     * memory for the whole request, helpers hold a part of it.
     *
     * @param primaryCandidates engines that may run the request, regardless of their free memory
     * @param helperCandidates engines that may prefill a share, including all primary candidates
     */
    Optional<PrefillPlan> plan(
            PrefillRequest request,
            Collection<EngineState> primaryCandidates,
            Collection<EngineState> helperCandidates,
            double nowMs) {
        List<EngineState> withMemory = primaryCandidates.stream()
                .filter(engine -> engine.hasFreeMemory(request.memoryTokens()))
                .toList();
        if (!withMemory.isEmpty()) {
            return bestPlan(request, withMemory, helperCandidates, List.of(), nowMs);
        }
        Optional<EngineState> mostFree =
                primaryCandidates.stream().max(Comparator.comparingDouble(EngineState::freeMemoryTokens));
        if (mostFree.isEmpty()) {
            return Optional.empty();
        }
        List<Helper> memoryHelpers = memoryHelpers(request, mostFree.get(), helperCandidates);
        return memoryHelpers.isEmpty()
                ? Optional.empty()
                : bestPlan(request, List.of(mostFree.get()), helperCandidates, memoryHelpers, nowMs);
    }

    /**
     * Returns helpers that hold the memory the primary engine lacks, the one with the most free memory first; empty
     * when they lack it too.
     */
    private static List<Helper> memoryHelpers(
            PrefillRequest request, EngineState primary, Collection<EngineState> helperCandidates) {
        List<EngineState> byFreeMemory = helperCandidates.stream()
                .filter(engine -> engine != primary)
                .sorted(Comparator.comparingDouble(EngineState::freeMemoryTokens)
                        .reversed())
                .limit(MAX_MEMORY_HELPERS)
                .toList();
        double missing = request.memoryTokens() - primary.freeMemoryTokens() * USABLE_MEMORY_FRACTION;
        List<Helper> memoryHelpers = new ArrayList<>();
        for (EngineState engine : byFreeMemory) {
            long tokens = (long) Math.min(Math.ceil(missing), engine.freeMemoryTokens() * USABLE_MEMORY_FRACTION);
            if (missing <= 0 || tokens <= 0) {
                break;
            }
            memoryHelpers.add(new Helper(engine, tokens));
            missing -= tokens;
        }
        return missing > 0 ? List.of() : memoryHelpers;
    }

    private Optional<PrefillPlan> bestPlan(
            PrefillRequest request,
            Collection<EngineState> primaryCandidates,
            Collection<EngineState> helperCandidates,
            List<Helper> memoryHelpers,
            double nowMs) {
        List<EligibleEngine> eligible = new ArrayList<>();
        boolean useShortlist = memoryHelpers.isEmpty()
                && isShort(request, primaryCandidates.iterator().next());
        for (EngineState engine : useShortlist
                ? Shortlist.of(primaryCandidates, engine -> tighterGapLoss(request, engine), engine -> request.saved()
                        .savedMs(request.promptTokens(), engine))
                : helperCandidates) {
            eligible.add(new EligibleEngine(
                    engine,
                    primaryCandidates.contains(engine),
                    engine.simulation().baselineLoss(latenessLoss, nowMs)));
        }
        PrefillPlan best = null;
        for (int helperCount : HELPER_COUNTS) {
            if (helperCount < memoryHelpers.size()) {
                continue;
            }
            if (best != null && !isWorthSplitting(request, best)) {
                break;
            }
            PrefillPlan plan = planWith(request, eligible, memoryHelpers, helperCount, nowMs);
            if (plan != null && (best == null || plan.totalLoss() < best.totalLoss())) {
                best = plan;
            }
        }
        return Optional.ofNullable(best);
    }

    private static boolean isWorthSplitting(PrefillRequest request, PrefillPlan best) {
        return !isShort(request, best.primary()) || best.totalLoss() > LOSS_PER_HELPER;
    }

    private static boolean isShort(PrefillRequest request, EngineState engine) {
        return PrefillShare.of(request.promptTokens(), 1).prefillMs(engine.profile()) <= SHORT_PREFILL_MS;
    }

    private PrefillPlan planWith(
            PrefillRequest request,
            List<EligibleEngine> eligible,
            List<Helper> memoryHelpers,
            int helperCount,
            double nowMs) {
        if (eligible.size() < helperCount + 1) {
            return null;
        }
        List<Candidate> candidates = new ArrayList<>();
        for (EligibleEngine engine : eligible) {
            PrefillShare share = request.share(engine.engine(), helperCount + 1);
            candidates.add(candidate(engine, share, request, nowMs));
        }
        candidates.sort(Comparator.comparingDouble(Candidate::totalLoss));
        Candidate primary = bestPrimary(request, candidates);
        if (primary == null) {
            return null;
        }
        List<Helper> helpers = chooseHelpers(candidates, primary.engine(), memoryHelpers, helperCount);
        double doneMs = primary.forecast().doneMs();
        double lossToOthers = primary.lossToOthers();
        for (Candidate candidate : candidates) {
            if (contains(candidate.engine(), helpers)) {
                doneMs = Math.max(doneMs, candidate.forecast().doneMs());
                lossToOthers += candidate.lossToOthers();
            }
        }
        double prefillMs = request.share(primary.engine(), helperCount + 1)
                .prefillMs(primary.engine().profile());
        double seconds = prefillMs / MS_PER_SECOND;
        double totalLoss = lossToOthers
                + tighterGapLoss(request, primary.engine())
                + helperCount * LOSS_PER_HELPER
                + (helperCount + 1) * BLOCKING_LOSS_PER_SQUARE_SECOND * seconds * seconds
                + ownLoss(request, doneMs, nowMs);
        return new PrefillPlan(primary.engine(), helpers, prefillMs, doneMs, lossToOthers, totalLoss);
    }

    private Candidate candidate(EligibleEngine eligible, PrefillShare share, PrefillRequest request, double nowMs) {
        Optional<RequestTraits> decodingTraits =
                eligible.mayBePrimary() ? Optional.of(request.traits(request.promptTokens())) : Optional.empty();
        Forecast forecast = eligible.engine()
                .simulation()
                .forecast(share, decodingTraits, latenessLoss, eligible.baselineLoss(), nowMs);
        double backlogSeconds = eligible.engine().simulation().prefillBacklogMs() / MS_PER_SECOND;
        double addedSeconds = share.prefillMs(eligible.engine().profile()) / MS_PER_SECOND;
        double lossToOthers =
                forecast.lossToOthers() + BLOCKING_LOSS_PER_SQUARE_SECOND * 2 * addedSeconds * backlogSeconds;
        double totalLoss = lossToOthers
                + BLOCKING_LOSS_PER_SQUARE_SECOND * addedSeconds * addedSeconds
                + ownLoss(request, forecast.doneMs(), nowMs)
                + (forecast.doneMs() - nowMs) * LOSS_PER_MS;
        return new Candidate(eligible.engine(), eligible.mayBePrimary(), forecast, lossToOthers, totalLoss);
    }

    /** Returns the expected loss of the request itself. */
    private double ownLoss(PrefillRequest request, double doneMs, double nowMs) {
        return request.weight() * latenessLoss.ofFirstToken(doneMs, request.dueMs(), request.abandonMs(), nowMs);
    }

    private static Candidate bestPrimary(PrefillRequest request, List<Candidate> candidates) {
        Candidate best = null;
        double bestLoss = Double.POSITIVE_INFINITY;
        for (Candidate candidate : candidates) {
            double loss = candidate.totalLoss() + tighterGapLoss(request, candidate.engine());
            if (candidate.mayBePrimary() && loss < bestLoss) {
                best = candidate;
                bestLoss = loss;
            }
        }
        return best;
    }

    /** Returns the memory helpers and then the engines with the lowest loss, {@code helperCount} in total. */
    private static List<Helper> chooseHelpers(
            List<Candidate> candidates, EngineState primary, List<Helper> memoryHelpers, int helperCount) {
        List<Helper> helpers = new ArrayList<>(memoryHelpers);
        for (Candidate candidate : candidates) {
            boolean taken = candidate.engine() == primary || contains(candidate.engine(), memoryHelpers);
            if (!taken && helpers.size() < helperCount) {
                helpers.add(new Helper(candidate.engine(), 0));
            }
        }
        return helpers;
    }

    private static boolean contains(EngineState engine, List<Helper> helpers) {
        return helpers.stream().anyMatch(helper -> helper.engine() == engine);
    }

    private static double tighterGapLoss(PrefillRequest request, EngineState engine) {
        boolean tightens = request.maxGapMs() > 0
                && request.maxGapMs() < engine.simulation().strictestGapMs();
        return tightens ? TIGHTER_GAP_LOSS * SHORT_GAP_MS / Math.max(SHORT_GAP_MS, request.maxGapMs()) : 0;
    }
}

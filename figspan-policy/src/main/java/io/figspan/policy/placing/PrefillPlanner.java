package io.figspan.policy.placing;

import io.figspan.policy.engine.EngineSimulation.Forecast;
import io.figspan.policy.engine.EngineSimulation.RequestTraits;
import io.figspan.policy.engine.LatenessLoss;
import io.figspan.policy.engine.PrefillShare;
import io.figspan.policy.placing.ReadPlan.Reader;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;

/**
 * Chooses the engine that runs a request and those that help to read its prompt: the way by which the least worth is
 * lost, of the request itself and of those whose answers it would interrupt. Answers load in which short prompts with
 * short pauses share the engines with prompts that take seconds to read, some longer than an engine's memory.
 */
final class ReadPlanner {
    /** Numbers of helping engines that are weighed; 16 is the most that an engine takes. */
    private static final int[] READER_COUNTS = {0, 1, 3, 5, 7, 11, 16};

    /** Reading that takes less than this beside a pass is not worth splitting. */
    private static final double SHORT_READ_MS = 60;

    /** Worth at risk for each further engine that has to be alive for an answer. */
    private static final double LOSS_PER_READER = 0.02;

    /** Worth of an engine without requests of short pauses, which long prompts can then be read at. */
    private static final double OPENING_LOSS = 0.5;

    /** Decides between engines at which nothing is lost. */
    private static final double LOSS_PER_MS = 1e-5;

    /** A pause limit of this length or less keeps long prompts from an engine. */
    private static final double SHORT_GAP_MS = 250;

    /** Engines among which the memory of one request is spread, besides the first. */
    private static final int MAX_HOLDERS = 7;

    /** Part of the free memory that is asked for, since requests there go on writing. */
    private static final double USABLE_MEMORY = 0.95;

    /**
     * Worth lost to requests that are still to come, for an engine that reads for a second. All of its reading is in
     * their way, so the loss grows with the square of it. The part that is due to the present reading can be avoided by
     * waiting, so it counts as harm.
     */
    private static final double BLOCKING_LOSS_PER_SQUARE_SECOND = 0.5;

    private static final double MS_PER_SECOND = 1_000;

    private final LatenessLoss lateLoss;

    ReadPlanner(LatenessLoss lateLoss) {
        this.lateLoss = lateLoss;
    }

    /**
     * What is asked of the engines.
     *
     * @param dueMs when the first token is late
     * @param lostMs when the caller has given up
     */
    record Wanted(
            double promptTokens, double memoryTokens, double dueMs, double lostMs, double maxGapMs, double worth) {
        /** The request as an engine sees it whose memory holds so many tokens of the prompt. */
        RequestTraits traits(double contextTokens) {
            return new RequestTraits(contextTokens, dueMs, lostMs, maxGapMs, worth);
        }
    }

    /** An engine that may take part, and what others lose there without the request. */
    private record Able(EngineSeat seat, boolean mayRun, double harmBefore) {}

    /** One engine with its forecast for a share of the reading. */
    private record Candidate(EngineSeat seat, boolean mayRun, Forecast forecast, double harm, double loss) {}

    /**
     * The best plan; empty when no engine can run the request now. Where none has the memory for all of it, others hold
     * a part.
     *
     * @param firsts engines that may run it, as far as their memory allows
     * @param helpers engines that may read parts, those that may run it among them
     */
    Optional<ReadPlan> plan(
            Wanted wanted, Collection<EngineSeat> firsts, Collection<EngineSeat> helpers, double nowMs) {
        List<EngineSeat> roomy = firsts.stream()
                .filter(seat -> seat.hasMemory(wanted.memoryTokens()))
                .toList();
        if (!roomy.isEmpty()) {
            return bestOf(wanted, roomy, helpers, List.of(), nowMs);
        }
        Optional<EngineSeat> roomiest = firsts.stream().max(Comparator.comparingDouble(EngineSeat::freeMemoryTokens));
        if (roomiest.isEmpty()) {
            return Optional.empty();
        }
        List<Reader> holders = holders(wanted, roomiest.get(), helpers);
        return holders.isEmpty() ? Optional.empty() : bestOf(wanted, List.of(roomiest.get()), helpers, holders, nowMs);
    }

    /** The engines that hold what the first one can't, the roomiest first; none when they can't either. */
    private static List<Reader> holders(Wanted wanted, EngineSeat first, Collection<EngineSeat> helpers) {
        List<EngineSeat> byRoom = helpers.stream()
                .filter(seat -> seat != first)
                .sorted(Comparator.comparingDouble(EngineSeat::freeMemoryTokens).reversed())
                .limit(MAX_HOLDERS)
                .toList();
        double missing = wanted.memoryTokens() - first.freeMemoryTokens() * USABLE_MEMORY;
        List<Reader> holders = new ArrayList<>();
        for (EngineSeat seat : byRoom) {
            long tokens = (long) Math.min(Math.ceil(missing), seat.freeMemoryTokens() * USABLE_MEMORY);
            if (missing <= 0 || tokens <= 0) {
                break;
            }
            holders.add(new Reader(seat, tokens));
            missing -= tokens;
        }
        return missing > 0 ? List.of() : holders;
    }

    private Optional<ReadPlan> bestOf(
            Wanted wanted,
            Collection<EngineSeat> firsts,
            Collection<EngineSeat> helpers,
            List<Reader> holders,
            double nowMs) {
        List<Able> able = new ArrayList<>();
        boolean stayWhole =
                holders.isEmpty() && isShort(wanted, firsts.iterator().next());
        for (EngineSeat seat : stayWhole ? Shortlist.of(firsts, seat -> openingLoss(wanted, seat)) : helpers) {
            able.add(new Able(seat, firsts.contains(seat), seat.simulation().harmSoon(lateLoss, nowMs)));
        }
        ReadPlan best = null;
        for (int readers : READER_COUNTS) {
            if (readers < holders.size()) {
                continue;
            }
            if (best != null && !isWorthSplitting(wanted, best)) {
                break;
            }
            ReadPlan plan = planWith(wanted, able, holders, readers, nowMs);
            if (plan != null && (best == null || plan.loss() < best.loss())) {
                best = plan;
            }
        }
        return Optional.ofNullable(best);
    }

    private static boolean isWorthSplitting(Wanted wanted, ReadPlan best) {
        return !isShort(wanted, best.first()) || best.loss() > LOSS_PER_READER;
    }

    private static boolean isShort(Wanted wanted, EngineSeat engine) {
        return PrefillShare.of(wanted.promptTokens(), 1).readMs(engine.profile()) <= SHORT_READ_MS;
    }

    private ReadPlan planWith(Wanted wanted, List<Able> able, List<Reader> holders, int readers, double nowMs) {
        if (able.size() < readers + 1) {
            return null;
        }
        PrefillShare share = PrefillShare.of(wanted.promptTokens(), readers + 1);
        List<Candidate> candidates = new ArrayList<>();
        for (Able engine : able) {
            candidates.add(candidate(engine, share, wanted, nowMs));
        }
        candidates.sort(Comparator.comparingDouble(Candidate::loss));
        Candidate first = bestFirst(wanted, candidates);
        if (first == null) {
            return null;
        }
        List<Reader> chosen = choose(candidates, first.seat(), holders, readers);
        double doneMs = first.forecast().doneMs();
        double harm = first.harm();
        for (Candidate candidate : candidates) {
            if (isChosen(candidate.seat(), chosen)) {
                doneMs = Math.max(doneMs, candidate.forecast().doneMs());
                harm += candidate.harm();
            }
        }
        double readMs = share.readMs(first.seat().profile());
        double seconds = readMs / MS_PER_SECOND;
        double loss = harm
                + openingLoss(wanted, first.seat())
                + readers * LOSS_PER_READER
                + (readers + 1) * BLOCKING_LOSS_PER_SQUARE_SECOND * seconds * seconds
                + ownLoss(wanted, doneMs, nowMs);
        return new ReadPlan(first.seat(), chosen, readMs, doneMs, harm, loss);
    }

    private Candidate candidate(Able engine, PrefillShare share, Wanted wanted, double nowMs) {
        Optional<RequestTraits> writer =
                engine.mayRun() ? Optional.of(wanted.traits(wanted.promptTokens())) : Optional.empty();
        Forecast forecast = engine.seat().simulation().forecast(share, writer, lateLoss, engine.harmBefore(), nowMs);
        double presentSeconds = engine.seat().simulation().readingMs() / MS_PER_SECOND;
        double addedSeconds = share.readMs(engine.seat().profile()) / MS_PER_SECOND;
        double harm = forecast.harm() + BLOCKING_LOSS_PER_SQUARE_SECOND * 2 * addedSeconds * presentSeconds;
        double loss = harm
                + BLOCKING_LOSS_PER_SQUARE_SECOND * addedSeconds * addedSeconds
                + ownLoss(wanted, forecast.doneMs(), nowMs)
                + (forecast.doneMs() - nowMs) * LOSS_PER_MS;
        return new Candidate(engine.seat(), engine.mayRun(), forecast, harm, loss);
    }

    /** What is lost of the request's own worth. */
    private double ownLoss(Wanted wanted, double doneMs, double nowMs) {
        return wanted.worth() * lateLoss.ofFirstToken(doneMs, wanted.dueMs(), wanted.lostMs(), nowMs);
    }

    private static Candidate bestFirst(Wanted wanted, List<Candidate> candidates) {
        Candidate best = null;
        double bestLoss = Double.POSITIVE_INFINITY;
        for (Candidate candidate : candidates) {
            double loss = candidate.loss() + openingLoss(wanted, candidate.seat());
            if (candidate.mayRun() && loss < bestLoss) {
                best = candidate;
                bestLoss = loss;
            }
        }
        return best;
    }

    /** The holders and the engines at which the least is lost, up to the number wanted. */
    private static List<Reader> choose(
            List<Candidate> candidates, EngineSeat first, List<Reader> holders, int readers) {
        List<Reader> chosen = new ArrayList<>(holders);
        for (Candidate candidate : candidates) {
            boolean taken = candidate.seat() == first || isChosen(candidate.seat(), holders);
            if (!taken && chosen.size() < readers) {
                chosen.add(new Reader(candidate.seat(), 0));
            }
        }
        return chosen;
    }

    private static boolean isChosen(EngineSeat seat, List<Reader> chosen) {
        return chosen.stream().anyMatch(reader -> reader.seat() == seat);
    }

    private static double openingLoss(Wanted wanted, EngineSeat seat) {
        boolean opens =
                wanted.maxGapMs() > 0 && wanted.maxGapMs() < seat.simulation().strictestGapMs();
        return opens ? OPENING_LOSS * SHORT_GAP_MS / Math.max(SHORT_GAP_MS, wanted.maxGapMs()) : 0;
    }
}

package io.figspan.policy.placing;

import io.figspan.policy.engine.LateRisk;
import io.figspan.policy.engine.PassSimulation.Forecast;
import io.figspan.policy.engine.ReadShare;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;

/**
 * Chooses the engine that runs a request and those that help to read its prompt: the way by which the least worth is
 * lost, of the request itself and of those whose answers it would interrupt. Answers load in which short prompts with
 * short pauses share the engines with prompts that take seconds to read.
 */
final class ReadPlanner {
    /** Numbers of helping engines that are weighed; 16 is the most that an engine takes. */
    private static final int[] READER_COUNTS = {0, 1, 2, 3, 5, 7, 11, 16};

    /** Reading that takes less than this beside a pass is not worth splitting. */
    private static final double SHORT_READ_MS = 60;

    /** Worth at risk for each further engine that has to be alive for an answer. */
    private static final double LOSS_PER_READER = 0.02;

    /** Worth of an engine without requests of short pauses, which long prompts can then be read at. */
    private static final double OPENING_LOSS = 0.5;

    private final LateRisk risk;

    ReadPlanner(LateRisk risk) {
        this.risk = risk;
    }

    /** What is asked of the engines. */
    record Wanted(double promptTokens, double memoryTokens, double dueMs, double maxGapMs, double worth) {}

    /** One engine with its forecast for a share of the reading. */
    private record Candidate(EngineSeat seat, Forecast forecast, double loss) {}

    /**
     * The best plan; empty when no engine can run the request now.
     *
     * @param firsts engines that may run it
     * @param helpers engines that may read parts
     */
    Optional<ReadPlan> plan(
            Wanted wanted, Collection<EngineSeat> firsts, Collection<EngineSeat> helpers, double nowMs) {
        ReadPlan best = null;
        for (int readers : READER_COUNTS) {
            if (readers > 0 && (firsts.isEmpty() || !isWorthSplitting(wanted, best))) {
                break;
            }
            ReadPlan plan = plan(wanted, firsts, helpers, readers, nowMs);
            if (plan != null && (best == null || plan.loss() < best.loss())) {
                best = plan;
            }
        }
        return Optional.ofNullable(best);
    }

    private static boolean isWorthSplitting(Wanted wanted, ReadPlan best) {
        if (best == null) {
            return false;
        }
        double readMs =
                ReadShare.of(wanted.promptTokens(), 1).readMs(best.first().profile());
        return readMs > SHORT_READ_MS || best.loss() > LOSS_PER_READER;
    }

    private ReadPlan plan(
            Wanted wanted, Collection<EngineSeat> firsts, Collection<EngineSeat> helpers, int readers, double nowMs) {
        ReadShare share = ReadShare.of(wanted.promptTokens(), readers + 1);
        List<Candidate> able = new ArrayList<>();
        for (EngineSeat seat : helpers) {
            able.add(candidate(seat, share, wanted, nowMs));
        }
        able.sort(Comparator.comparingDouble(Candidate::loss));
        Candidate first = bestFirst(wanted, firsts, able);
        if (first == null || able.size() < readers + 1) {
            return null;
        }
        List<EngineSeat> chosen = new ArrayList<>();
        double doneMs = first.forecast().doneMs();
        double loss = first.forecast().harm() + openingLoss(wanted, first.seat());
        for (Candidate candidate : able) {
            if (chosen.size() == readers) {
                break;
            }
            if (candidate.seat() != first.seat()) {
                chosen.add(candidate.seat());
                doneMs = Math.max(doneMs, candidate.forecast().doneMs());
                loss += candidate.forecast().harm() + LOSS_PER_READER;
            }
        }
        loss += wanted.worth() * risk.ofFirstToken(doneMs, wanted.dueMs(), nowMs);
        return new ReadPlan(first.seat(), chosen, doneMs, loss);
    }

    private Candidate candidate(EngineSeat seat, ReadShare share, Wanted wanted, double nowMs) {
        Forecast forecast = seat.simulation().forecast(share, risk, nowMs);
        double loss = forecast.harm()
                + wanted.worth() * risk.ofFirstToken(forecast.doneMs(), wanted.dueMs(), nowMs)
                + (forecast.doneMs() - nowMs) * LOSS_PER_MS;
        return new Candidate(seat, forecast, loss);
    }

    /** Decides between engines at which nothing is lost. */
    private static final double LOSS_PER_MS = 1e-5;

    private static Candidate bestFirst(Wanted wanted, Collection<EngineSeat> firsts, List<Candidate> able) {
        Candidate best = null;
        double bestLoss = Double.POSITIVE_INFINITY;
        for (Candidate candidate : able) {
            if (!firsts.contains(candidate.seat())) {
                continue;
            }
            double loss = candidate.loss() + openingLoss(wanted, candidate.seat());
            if (loss < bestLoss) {
                best = candidate;
                bestLoss = loss;
            }
        }
        return best;
    }

    private static double openingLoss(Wanted wanted, EngineSeat seat) {
        boolean opens =
                wanted.maxGapMs() > 0 && wanted.maxGapMs() < seat.simulation().strictestGapMs();
        return opens ? OPENING_LOSS * SHORT_GAP_MS / Math.max(SHORT_GAP_MS, wanted.maxGapMs()) : 0;
    }

    /** A pause limit of this length or less keeps long prompts from an engine. */
    private static final double SHORT_GAP_MS = 250;
}

package io.figspan.policy.placing;

import io.figspan.core.id.BackendServerId;
import io.figspan.policy.affinity.CachedPrefixes;
import io.figspan.policy.affinity.PrefixUse;
import io.figspan.policy.placing.Placer.AttemptOutcome;
import io.figspan.policy.placing.Placer.AvailableServer;
import io.figspan.settings.gateway.PrefixRetention;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

/**
 * Estimates how much prefill of a job each engine saves, from what the engines hold of earlier jobs of this host. Saves
 * nothing for a service without a configured retention.
 */
final class CachedPrefill {
    /** Smaller savings disappear in the spread of the forecasts; they would only decide between equal engines. */
    static final double MIN_SAVED_MS = 5;

    private final Optional<CachedPrefixes> prefixes;
    private final Map<Job, PrefixUse> uses = new HashMap<>();
    private final Map<BackendServerId, Long> incarnations = new HashMap<>();

    CachedPrefill(Optional<PrefixRetention> retention) {
        this.prefixes = retention.map(CachedPrefixes::new);
    }

    /** Forgets what engines held that have left, or that a new process serves under the same id. */
    void enginesChanged(List<AvailableServer> engines, Set<BackendServerId> known) {
        if (prefixes.isEmpty()) {
            return;
        }
        prefixes.get().retainEngines(known);
        incarnations.keySet().retainAll(known);
        for (AvailableServer engine : engines) {
            Long previous = incarnations.put(engine.id(), engine.incarnationNumber());
            if (previous != null && previous != engine.incarnationNumber()) {
                prefixes.get().clear(engine.id());
            }
        }
    }

    /** Returns the expected savings of the engines that may run a job. */
    SavedPrefill of(Job job, List<EngineState> engines, long nowNanos) {
        if (prefixes.isEmpty() || job.prefix().isEmpty()) {
            return SavedPrefill.NONE;
        }
        Map<EngineState, Double> saved = new HashMap<>();
        for (EngineState engine : engines) {
            prefixes.get().fitInto(engine.id(), engine.freeMemoryTokens());
            put(saved, job, engine, prefixes.get().expectedTokens(engine.id(), job.prefix(), nowNanos));
        }
        return saved.isEmpty() ? SavedPrefill.NONE : new SavedPrefill(saved);
    }

    private static void put(Map<EngineState, Double> saved, Job job, EngineState engine, double tokens) {
        double promptTokens = job.promptTokens();
        double savedTokens = Math.min(tokens, promptTokens);
        if (SavedPrefill.savedMs(promptTokens, savedTokens, engine.profile()) >= MIN_SAVED_MS) {
            saved.put(engine, savedTokens);
        }
    }

    void started(Job job, EngineState engine) {
        if (prefixes.isPresent() && !job.prefix().isEmpty()) {
            uses.put(job, prefixes.get().started(engine.id(), job.prefix()));
        }
    }

    /** Records that a job left its engine. One that broke off or fell silent may have lost its memory. */
    void ended(Job job, EngineState engine, AttemptOutcome outcome, long nowNanos) {
        PrefixUse use = uses.remove(job);
        if (use != null && (outcome == AttemptOutcome.SERVED || job.hasAnswerStarted())) {
            use.ended(nowNanos);
        } else if (use != null) {
            use.withdrawn();
        }
        if (outcome == AttemptOutcome.BROKEN || outcome == AttemptOutcome.SILENT) {
            prefixes.ifPresent(known -> known.clear(engine.id()));
        }
    }
}

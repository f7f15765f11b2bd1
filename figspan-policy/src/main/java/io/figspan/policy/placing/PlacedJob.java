package io.figspan.policy.placing;

import io.figspan.core.work.PrefillReader;
import io.figspan.policy.engine.EngineSimulation.RequestTraits;
import io.figspan.policy.placing.PrefillPlan.Helper;
import java.util.List;

/** A job that this host has sent to a primary engine and, possibly, helpers. */
final class PlacedJob {
    /** Engines emit a piece every 50 to 300 ms; one that is this much overdue is dead or unreachable. */
    private static final double MAX_SILENCE_MS = 800;

    /** The same while helpers prefill: the primary engine itself reports a dead helper within 1.5 s. */
    private static final double MAX_SILENCE_WITH_HELPERS_MS = 1_800;

    final long key;
    final EngineState primary;
    final List<Helper> helpers;
    final long sentNanos;
    final long outputTokens;
    final RequestTraits traits;
    long generatedTokens;
    double nextPieceDueMs;
    boolean reportedOverdue;

    PlacedJob(
            long key,
            EngineState primary,
            List<Helper> helpers,
            long sentNanos,
            long outputTokens,
            RequestTraits traits,
            double nextPieceDueMs) {
        this.key = key;
        this.primary = primary;
        this.helpers = helpers;
        this.sentNanos = sentNanos;
        this.outputTokens = outputTokens;
        this.traits = traits;
        this.nextPieceDueMs = nextPieceDueMs;
    }

    /** Whether the next piece is overdue and the primary engine has sent no piece of any other answer meanwhile. */
    boolean isOverdue(double nowMs) {
        boolean awaitsHelpers = generatedTokens == 0 && !helpers.isEmpty();
        double maxSilenceMs = awaitsHelpers ? MAX_SILENCE_WITH_HELPERS_MS : MAX_SILENCE_MS;
        return nowMs > Math.max(nextPieceDueMs, primary.lastOutputMs()) + maxSilenceMs;
    }

    /** The helpers to report to other hosts: once the prefill is done, only those that hold memory. */
    List<PrefillReader> prefillReaders() {
        return helpers.stream()
                .filter(helper -> generatedTokens == 0 || helper.heldTokens() > 0)
                .map(Helper::toPrefillReader)
                .toList();
    }
}

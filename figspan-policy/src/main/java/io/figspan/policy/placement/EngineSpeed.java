package io.figspan.policy.placement;

import io.figspan.core.error.FigspanException;
import io.figspan.core.error.Location;
import io.figspan.core.error.ProblemKind;

/**
 * Throughput and memory of one engine, used to predict latencies.
 *
 * @param prefillTokensPerSecond prefill throughput
 * @param prefillChunkTokens maximum number of prompt tokens in one engine step
 * @param decodeStepNanos time between two output tokens of a stream on a busy engine
 * @param kvTotalTokens KV cache capacity of one engine
 */
public record EngineSpeed(
        long prefillTokensPerSecond, long prefillChunkTokens, long decodeStepNanos, long kvTotalTokens) {
    private static final double NANOS_PER_SECOND = 1e9;

    public EngineSpeed {
        if (prefillTokensPerSecond <= 0 || prefillChunkTokens <= 0 || decodeStepNanos <= 0 || kvTotalTokens <= 0) {
            throw new FigspanException(
                    ProblemKind.INVALID_VALUE,
                    "all values of the engine speed must be at least 1",
                    Location.of("engine speed"));
        }
    }

    /** Time to prefill prompt tokens on an idle engine. */
    public long prefillNanos(long tokens) {
        return (long) (tokens * NANOS_PER_SECOND / prefillTokensPerSecond);
    }

    /** Time to generate output tokens on a busy engine. */
    public long decodeNanos(long tokens) {
        return tokens * decodeStepNanos;
    }

    /** Prompt tokens that an engine prefills in {@code nanos}. */
    public long prefillTokens(long nanos) {
        return (long) (nanos * (double) prefillTokensPerSecond / NANOS_PER_SECOND);
    }
}

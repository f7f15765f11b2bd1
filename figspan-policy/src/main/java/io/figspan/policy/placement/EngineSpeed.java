package io.figspan.policy.placement;

import io.figspan.core.error.FigspanException;
import io.figspan.core.error.Location;
import io.figspan.core.error.ProblemKind;

/**
 * Speed of one engine, for predictions.
 *
 * @param prefillTokensPerSecond rate of prompt processing
 * @param prefillChunkTokens most prompt tokens in one engine step
 * @param decodeStepNanos time between two tokens of a stream on a busy engine
 * @param kvTotalTokens memory of one engine
 */
public record EngineSpeed(
        long prefillTokensPerSecond, long prefillChunkTokens, long decodeStepNanos, long kvTotalTokens) {
    private static final double NANOS_PER_SECOND = 1e9;

    public EngineSpeed {
        if (prefillTokensPerSecond <= 0 || prefillChunkTokens <= 0 || decodeStepNanos <= 0 || kvTotalTokens <= 0) {
            throw new FigspanException(
                    ProblemKind.INVALID_VALUE, "engine speed has a value below 1", Location.of("engine speed"));
        }
    }

    public long prefillNanos(long tokens) {
        return (long) (tokens * NANOS_PER_SECOND / prefillTokensPerSecond);
    }

    public long decodeNanos(long tokens) {
        return tokens * decodeStepNanos;
    }

    /** Prompt tokens processed in a time. */
    public long prefillTokens(long nanos) {
        return (long) (nanos * (double) prefillTokensPerSecond / NANOS_PER_SECOND);
    }
}

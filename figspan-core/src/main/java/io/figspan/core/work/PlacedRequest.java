package io.figspan.core.work;

import io.figspan.core.error.FigspanException;
import io.figspan.core.error.Location;
import io.figspan.core.error.ProblemKind;
import io.figspan.core.id.BackendServerId;
import java.util.List;

/**
 * A request that a host has placed on a model engine and that is still in progress, as reported to other hosts.
 *
 * @param id identifies the request among those of its host
 * @param server engine that runs the request
 * @param readers engines that prefill parts of its prompt or hold parts of its KV cache
 * @param promptTokens length of the prompt, in tokens
 * @param outputTokens expected length of the answer, in tokens
 * @param generatedTokens tokens generated so far; 0 during prefill
 * @param ageMs time since the request was sent to the engine, in milliseconds
 * @param dueInMs time until the first token is late, in milliseconds; negative once it is late
 * @param maxGapMs longest pause between events with which the answer is still on time, in milliseconds; 0 if it has no
 *     such limit
 */
public record PlacedRequest(
        long id,
        BackendServerId server,
        List<PrefillReader> readers,
        long promptTokens,
        long outputTokens,
        long generatedTokens,
        long ageMs,
        long dueInMs,
        long maxGapMs) {
    public PlacedRequest {
        readers = List.copyOf(readers);
        boolean negative = promptTokens < 0 || outputTokens < 0 || generatedTokens < 0 || ageMs < 0 || maxGapMs < 0;
        if (negative) {
            throw new FigspanException(
                    ProblemKind.INVALID_VALUE, "a token count, age or gap is negative", Location.of("placed request"));
        }
    }
}

package io.figspan.core.work;

import io.figspan.core.error.FigspanException;
import io.figspan.core.error.Location;
import io.figspan.core.error.ProblemKind;
import io.figspan.core.id.BackendServerId;
import java.util.List;

/**
 * One request that a host has at a model engine.
 *
 * @param id names the request among those of its host
 * @param server the engine that runs it
 * @param readers engines that read parts of its prompt or hold parts of its memory
 * @param promptTokens length of the prompt
 * @param outputTokens expected length of the answer
 * @param generatedTokens length of the answer so far; 0 while the prompt is read
 * @param ageMs time since it was sent
 * @param dueInMs time until its first token is late; negative when it is
 * @param maxGapMs longest pause with which its answer is still on time; 0 when there is none
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
                    ProblemKind.INVALID_VALUE, "a length or time is negative", Location.of("placed work"));
        }
    }
}

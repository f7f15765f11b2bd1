package io.figspan.policy.drain;

import io.figspan.core.id.ServiceId;
import io.figspan.policy.placing.PromptLengths;
import io.figspan.settings.gateway.RequestKind;
import java.util.Optional;
import java.util.OptionalInt;

/**
 * What is known about the duration of a request before it runs. The name of its route is no part of it: routes are
 * renamed and move, while the service and the size of a request decide how long it takes.
 *
 * @param service the service that runs it
 * @param kind the kind of its route
 * @param prompt token counts of the prompt; empty when the request has none
 * @param tokensPerEvent tokens in each event of a stream of the service; empty when that is not known
 * @param timeoutMs maximum time that the request may take
 */
public record RequestProfile(
        ServiceId service,
        RequestKind kind,
        Optional<PromptLengths> prompt,
        OptionalInt tokensPerEvent,
        long timeoutMs) {
    private static final long TOKENS_READ_PER_TOKEN_WRITTEN = 10;

    /** Whether the longest answer is known as a number of events. */
    boolean hasKnownLength() {
        return kind.isStreaming() && prompt.isPresent() && tokensPerEvent.isPresent();
    }

    /** Size class of the prompt alone, one for each power of two. */
    int promptSizeClass() {
        return sizeClass(prompt.orElseThrow().promptTokens());
    }

    /** Size class of the prompt and its longest answer, one for each power of two; 0 without a prompt. */
    int requestSizeClass() {
        return prompt.map(lengths -> lengths.promptTokens() + TOKENS_READ_PER_TOKEN_WRITTEN * lengths.maxOutputTokens())
                .map(RequestProfile::sizeClass)
                .orElse(0);
    }

    private static int sizeClass(long tokens) {
        return Long.SIZE - Long.numberOfLeadingZeros(Math.max(1, tokens));
    }

    /** Gaps between the events of the longest answer that the caller allows. */
    long maxGaps() {
        long tokens = prompt.orElseThrow().maxOutputTokens();
        int perEvent = Math.max(1, tokensPerEvent.orElseThrow());
        return Math.max(0, (tokens + perEvent - 1) / perEvent - 1);
    }
}

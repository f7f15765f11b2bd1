package io.figspan.standin.engine;

import com.fasterxml.jackson.annotation.JsonIgnoreProperties;
import com.fasterxml.jackson.annotation.JsonProperty;
import java.util.List;

/** JSON messages of the HTTP protocol of the stand-in engine. */
final class EngineMessages {
    private EngineMessages() {}

    /**
     * Request to generate an answer to a prompt.
     *
     * @param hold handle of the hold that the job's KV memory is charged to
     * @param offset offset of the first answer token to return
     */
    @JsonIgnoreProperties(ignoreUnknown = true)
    record CompletionRequest(
            @JsonProperty("model") String model,
            @JsonProperty("prompt") String prompt,
            @JsonProperty("max_tokens") int maxTokens,
            @JsonProperty("stream_id") String streamId,
            @JsonProperty("hold") String hold,
            @JsonProperty("priority_delay_ms") long priorityDelayMs,
            @JsonProperty("expires_in_ms") long expiresInMs,
            @JsonProperty("offset") int offset) {}

    /** Request to hold KV memory on one engine of a group. */
    @JsonIgnoreProperties(ignoreUnknown = true)
    record HoldRequest(
            @JsonProperty("handle") String handle,
            @JsonProperty("tokens") long tokens,
            @JsonProperty("expires_in_ms") long expiresInMs) {}

    /** Request to prefill one segment of a prompt into the KV memory of a hold. */
    @JsonIgnoreProperties(ignoreUnknown = true)
    record SegmentRequest(@JsonProperty("text") String text, @JsonProperty("priority_delay_ms") long priorityDelayMs) {}

    /** Exported KV cache. It contains the digest of the prompt instead of the data. */
    @JsonIgnoreProperties(ignoreUnknown = true)
    record KvBlob(@JsonProperty("digest") String digest, @JsonProperty("tokens") long tokens) {}

    /**
     * Order to load or unload a model, or to change the engine's role.
     *
     * @param model the model to load or unload; the new role if the action is {@code role}
     */
    @JsonIgnoreProperties(ignoreUnknown = true)
    record ModelOrder(
            @JsonProperty("fence") long fencingToken,
            @JsonProperty("action") String action,
            @JsonProperty("model") String model) {}

    /** Stream event with one answer token. */
    record Token(
            @JsonProperty("stream") String stream,
            @JsonProperty("offset") int offset,
            @JsonProperty("text") String text) {}

    /** Last event of a stream; also the body of an error response. */
    record StreamEnd(
            @JsonProperty("stream") String stream,
            @JsonProperty("offset") int offset,
            @JsonProperty("done") boolean done,
            @JsonProperty("error") String error) {}

    /** Entry of the load report for one hold. */
    record ReportedHold(
            @JsonProperty("handle") String handle,
            @JsonProperty("tokens") long tokens,
            @JsonProperty("expires_in_ms") long expiresInMs) {}

    /** Entry of the load report for one event of the prefix cache. */
    record ReportedCacheEvent(
            @JsonProperty("sequence") long sequence,
            @JsonProperty("kind") String kind,
            @JsonProperty("prefix") String prefix) {}

    /** Load report of the engine. */
    record Report(
            @JsonProperty("server") String server,
            @JsonProperty("incarnation") long incarnation,
            @JsonProperty("sequence") long sequence,
            @JsonProperty("state") String state,
            @JsonProperty("backlog_tokens") long backlogTokens,
            @JsonProperty("free_tokens") long freeTokens,
            @JsonProperty("capacity_tokens") long capacityTokens,
            @JsonProperty("running") long running,
            @JsonProperty("cache_hint") String cacheHint,
            @JsonProperty("accepted") int accepted,
            @JsonProperty("fence") long fencingToken,
            @JsonProperty("role") String role,
            @JsonProperty("models") List<String> models,
            @JsonProperty("holds") List<ReportedHold> holds,
            @JsonProperty("cache_events") List<ReportedCacheEvent> cacheEvents) {
        /** Returns the compact form for the {@code Figspan-Load} header of each response: 40 to 80 bytes. */
        String toHeaderValue() {
            return "i=" + incarnation + ";s=" + sequence + ";b=" + backlogTokens + ";d=" + running + ";u="
                    + (capacityTokens - freeTokens) + ";t=" + capacityTokens + ";h=" + cacheHint + ";l="
                    + ("leaving".equals(state) ? 1 : 0);
        }
    }
}

package io.figspan.standin.engine;

import com.fasterxml.jackson.annotation.JsonIgnoreProperties;
import com.fasterxml.jackson.annotation.JsonProperty;
import java.util.List;

/** JSON messages of the stand-in engine's protocol. */
final class EngineMessages {
    private EngineMessages() {}

    /**
     * A prompt.
     *
     * @param hold handle under which the engine accounts the memory
     * @param offset offset of the first token that the caller wants
     */
    @JsonIgnoreProperties(ignoreUnknown = true)
    record Completion(
            @JsonProperty("model") String model,
            @JsonProperty("prompt") String prompt,
            @JsonProperty("max_tokens") int maxTokens,
            @JsonProperty("stream_id") String streamId,
            @JsonProperty("hold") String hold,
            @JsonProperty("priority_delay_ms") long priorityDelayMs,
            @JsonProperty("expires_in_ms") long expiresInMs,
            @JsonProperty("offset") int offset) {}

    /** Takes memory for a group member. */
    @JsonIgnoreProperties(ignoreUnknown = true)
    record HoldRequest(
            @JsonProperty("handle") String handle,
            @JsonProperty("tokens") long tokens,
            @JsonProperty("expires_in_ms") long expiresInMs) {}

    /** A segment to prefill into a hold. */
    @JsonIgnoreProperties(ignoreUnknown = true)
    record Segment(@JsonProperty("text") String text, @JsonProperty("priority_delay_ms") long priorityDelayMs) {}

    /** Exported KV cache: the digest stands for the data. */
    @JsonIgnoreProperties(ignoreUnknown = true)
    record KvBlob(@JsonProperty("digest") String digest, @JsonProperty("tokens") long tokens) {}

    /** Order to load, unload or change role. */
    @JsonIgnoreProperties(ignoreUnknown = true)
    record ModelOrder(
            @JsonProperty("fence") long fence,
            @JsonProperty("action") String action,
            @JsonProperty("model") String model) {}

    /** One token of an answer. */
    record Token(
            @JsonProperty("stream") String stream,
            @JsonProperty("offset") int offset,
            @JsonProperty("text") String text) {}

    /** End of an answer. */
    record End(
            @JsonProperty("stream") String stream,
            @JsonProperty("offset") int offset,
            @JsonProperty("done") boolean done,
            @JsonProperty("error") String error) {}

    /** One hold in the report. */
    record ReportedHold(
            @JsonProperty("handle") String handle,
            @JsonProperty("tokens") long tokens,
            @JsonProperty("expires_in_ms") long expiresInMs) {}

    /** One cache event in the report. */
    record ReportedCacheEvent(
            @JsonProperty("sequence") long sequence,
            @JsonProperty("kind") String kind,
            @JsonProperty("prefix") String prefix) {}

    /** The load report. */
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
            @JsonProperty("fence") long fence,
            @JsonProperty("role") String role,
            @JsonProperty("models") List<String> models,
            @JsonProperty("holds") List<ReportedHold> holds,
            @JsonProperty("cache_events") List<ReportedCacheEvent> cacheEvents) {
        /** The form that rides on each response: 40 to 80 bytes. */
        String compact() {
            return "i=" + incarnation + ";s=" + sequence + ";b=" + backlogTokens + ";d=" + running + ";u="
                    + (capacityTokens - freeTokens) + ";t=" + capacityTokens + ";h=" + cacheHint + ";l="
                    + ("leaving".equals(state) ? 1 : 0);
        }
    }
}

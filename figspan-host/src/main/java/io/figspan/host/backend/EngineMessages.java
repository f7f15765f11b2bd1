package io.figspan.host.backend;

import com.fasterxml.jackson.annotation.JsonIgnoreProperties;
import com.fasterxml.jackson.annotation.JsonProperty;
import io.figspan.policy.placement.LoadReport;
import java.util.List;

/** JSON messages of the engines' protocol. */
public final class EngineMessages {
    private EngineMessages() {}

    /**
     * A prompt for one engine, which serves in the order of its own time of receipt plus {@code priorityDelayMs}.
     * {@code offset} is the offset of the first token that is wanted.
     */
    public record Completion(
            @JsonProperty("model") String model,
            @JsonProperty("prompt") String prompt,
            @JsonProperty("max_tokens") int maxTokens,
            @JsonProperty("stream_id") String streamId,
            @JsonProperty("hold") String hold,
            @JsonProperty("priority_delay_ms") long priorityDelayMs,
            @JsonProperty("expires_in_ms") long expiresInMs,
            @JsonProperty("offset") int offset) {}

    /** Takes engine memory under a handle. */
    public record HoldRequest(
            @JsonProperty("handle") String handle,
            @JsonProperty("tokens") long tokens,
            @JsonProperty("expires_in_ms") long expiresInMs) {}

    /** A segment to prefill into a hold. */
    public record Segment(@JsonProperty("text") String text, @JsonProperty("priority_delay_ms") long priorityDelayMs) {}

    /** Exported KV cache. */
    @JsonIgnoreProperties(ignoreUnknown = true)
    public record KvBlob(@JsonProperty("digest") String digest, @JsonProperty("tokens") long tokens) {}

    /** Data of one event of an answer stream. */
    @JsonIgnoreProperties(ignoreUnknown = true)
    record StreamData(
            @JsonProperty("stream") String stream,
            @JsonProperty("offset") int offset,
            @JsonProperty("text") String text,
            @JsonProperty("done") boolean done,
            @JsonProperty("error") String error) {}

    /** One hold in a report. */
    @JsonIgnoreProperties(ignoreUnknown = true)
    public record ReportedHold(
            @JsonProperty("handle") String handle,
            @JsonProperty("tokens") long tokens,
            @JsonProperty("expires_in_ms") long expiresInMs) {}

    /** One cache event in a report. */
    @JsonIgnoreProperties(ignoreUnknown = true)
    public record ReportedCacheEvent(
            @JsonProperty("sequence") long sequence,
            @JsonProperty("kind") String kind,
            @JsonProperty("prefix") String prefix) {}

    /** A full load report. */
    @JsonIgnoreProperties(ignoreUnknown = true)
    public record Report(
            @JsonProperty("server") String server,
            @JsonProperty("incarnation") long incarnation,
            @JsonProperty("sequence") long sequence,
            @JsonProperty("state") String state,
            @JsonProperty("backlog_tokens") long backlogTokens,
            @JsonProperty("free_tokens") long freeTokens,
            @JsonProperty("capacity_tokens") long capacityTokens,
            @JsonProperty("running") int running,
            @JsonProperty("cache_hint") String cacheHint,
            @JsonProperty("accepted") int accepted,
            @JsonProperty("fence") long fence,
            @JsonProperty("role") String role,
            @JsonProperty("models") List<String> models,
            @JsonProperty("holds") List<ReportedHold> holds,
            @JsonProperty("cache_events") List<ReportedCacheEvent> cacheEvents) {
        private static final int HEX = 16;

        public boolean isLeaving() {
            return "leaving".equals(state);
        }

        /** The part of the report that placement uses. */
        public LoadReport toLoad() {
            return new LoadReport(
                    sequence,
                    backlogTokens,
                    running,
                    capacityTokens - freeTokens,
                    capacityTokens,
                    Long.parseUnsignedLong(cacheHint, HEX));
        }
    }
}

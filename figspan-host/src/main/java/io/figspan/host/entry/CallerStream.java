package io.figspan.host.entry;

import com.fasterxml.jackson.annotation.JsonProperty;
import io.figspan.core.error.Problem;
import io.vertx.core.http.HttpServerResponse;
import io.vertx.core.json.Json;
import java.util.List;

/** The response to a caller: an event stream once it has begun, a problem document before. Ends exactly once. */
final class CallerStream {
    /** One choice of a completion chunk. */
    record Choice(
            @JsonProperty("index") int index,
            @JsonProperty("text") String text,
            @JsonProperty("finish_reason") String finishReason) {}

    /** Data of one event: one token of the answer at its offset. */
    record Chunk(
            @JsonProperty("id") String requestId,
            @JsonProperty("object") String object,
            @JsonProperty("offset") int offset,
            @JsonProperty("choices") List<Choice> choices) {}

    /** Interval of the signs of life that tell a caller a live host from a frozen one. */
    static final long HEARTBEAT_MS = 1_000;

    private static final String OBJECT = "text_completion";

    private final HttpServerResponse response;
    private final String requestId;
    private boolean begun;
    private boolean ended;
    private Runnable goneListener = () -> {};

    CallerStream(HttpServerResponse response, String requestId) {
        this.response = response;
        this.requestId = requestId;
        response.closeHandler(nothing -> onGone());
        response.exceptionHandler(cause -> onGone());
    }

    /** Sets what happens when the caller's connection ends before the answer does. */
    void setGoneListener(Runnable listener) {
        goneListener = listener;
    }

    boolean hasBegun() {
        return begun;
    }

    boolean hasEnded() {
        return ended;
    }

    /** Sends an event without data whose id lets the caller resume from the start. */
    void opened(String resumeToken) {
        if (ended) {
            return;
        }
        begin();
        response.write("id: " + resumeToken + "\n\n");
    }

    /** Sends a sign of life; the head too when it was not sent. */
    void heartbeat() {
        if (ended || response.writeQueueFull()) {
            return;
        }
        begin();
        response.write(": waiting\n\n");
    }

    private void begin() {
        if (begun) {
            return;
        }
        begun = true;
        response.setChunked(true);
        response.putHeader("Content-Type", "text/event-stream");
        response.putHeader("Cache-Control", "no-store");
    }

    /** Sends one token. {@code resumeToken} points behind it. */
    void token(String resumeToken, int offset, String text) {
        if (ended) {
            return;
        }
        Chunk chunk = new Chunk(requestId, OBJECT, offset, List.of(new Choice(0, text, null)));
        response.write("id: " + resumeToken + "\ndata: " + Json.encode(chunk) + "\n\n");
    }

    /** Ends a complete answer. */
    void complete(int offset) {
        if (ended) {
            return;
        }
        ended = true;
        Chunk chunk = new Chunk(requestId, OBJECT, offset, List.of(new Choice(0, "", "length")));
        response.end("data: " + Json.encode(chunk) + "\n\ndata: [DONE]\n\n");
    }

    /** Ends with a problem: a document before the stream has begun, else an event. */
    void problem(Problem problem) {
        if (ended) {
            return;
        }
        ended = true;
        if (!begun) {
            Problems.write(response, problem);
            return;
        }
        response.end("event: problem\ndata: " + Json.encode(problem.toMembers()) + "\n\n");
    }

    /** Calls {@code action} as soon as the connection takes more data. */
    void whenWritable(Runnable action) {
        if (!response.writeQueueFull()) {
            action.run();
            return;
        }
        response.drainHandler(nothing -> {
            response.drainHandler(null);
            action.run();
        });
    }

    private void onGone() {
        if (!ended) {
            ended = true;
            goneListener.run();
        }
    }
}

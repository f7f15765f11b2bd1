package io.figspan.standin.engine;

import io.vertx.core.http.HttpServerResponse;
import io.vertx.core.json.jackson.DatabindCodec;
import java.util.concurrent.TimeUnit;

/**
 * Writes the tokens of one stream as server-sent events, with flow control by the connection's write queue. An idle
 * stream gets a comment as heartbeat.
 */
final class StreamReader implements EngineJob.Reader {
    private static final long HEARTBEAT_NANOS = TimeUnit.MILLISECONDS.toNanos(500);

    private final HttpServerResponse response;
    private int nextOffset;
    private boolean closed;
    private long lastWriteNanos = System.nanoTime();

    StreamReader(HttpServerResponse response, int nextOffset) {
        this.response = response;
        this.nextOffset = nextOffset;
        response.exceptionHandler(cause -> closed = true);
        response.closeHandler(nothing -> closed = true);
    }

    void startResponse(EngineJob job) {
        response.setChunked(true);
        response.putHeader("Content-Type", "text/event-stream");
        response.putHeader("Figspan-Reader", Long.toString(job.readerNumber()));
        response.drainHandler(nothing -> onProgress(job));
        write(": open\n\n");
        onProgress(job);
    }

    @Override
    public void onProgress(EngineJob job) {
        while (!closed && nextOffset < job.generatedEndOffset() && !response.writeQueueFull()) {
            EngineMessages.Token token =
                    new EngineMessages.Token(job.submission().streamId(), nextOffset, job.tokenAt(nextOffset));
            nextOffset++;
            write("data: " + json(token) + "\n\n");
        }
        boolean heartbeatDue = System.nanoTime() - lastWriteNanos > HEARTBEAT_NANOS;
        if (!closed && heartbeatDue && !response.writeQueueFull()) {
            write(": waiting\n\n");
        }
        if (!closed && job.isTerminal() && nextOffset >= job.generatedEndOffset()) {
            closed = true;
            boolean done = job.state() == EngineJob.State.FINISHED;
            response.end("data: "
                    + json(new EngineMessages.StreamEnd(job.submission().streamId(), nextOffset, done, job.failure()))
                    + "\n\n");
        }
    }

    @Override
    public void onSuperseded() {
        if (!closed) {
            closed = true;
            response.reset();
        }
    }

    @Override
    public boolean isOpen() {
        return !closed;
    }

    private void write(String text) {
        lastWriteNanos = System.nanoTime();
        response.write(text);
    }

    private static String json(Object message) {
        try {
            return DatabindCodec.mapper().writeValueAsString(message);
        } catch (com.fasterxml.jackson.core.JsonProcessingException e) {
            throw new IllegalStateException(e);
        }
    }
}

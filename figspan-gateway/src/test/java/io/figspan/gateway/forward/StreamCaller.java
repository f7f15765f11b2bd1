package io.figspan.gateway.forward;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.regex.Pattern;

/**
 * A caller that records what it receives, one entry for each call of this interface and for each event, since events
 * that are read together are written together.
 */
final class StreamCaller implements CallerExchange {
    static final String HEAD = "head 200";
    static final String END = "end";
    static final String ABORT = "abort";

    private static final Pattern EVENT_END = Pattern.compile("(?<=\\n\\n)");

    private static final long LIMIT_S = 20;

    private final BlockingQueue<String> received = new LinkedBlockingQueue<>();
    private volatile boolean writable = true;

    /** Sets whether what is written is sent at once, or accumulates because the caller reads slowly. */
    void setWritable(boolean newWritable) {
        writable = newWritable;
    }

    /** Waits for the next entry. */
    String next() throws InterruptedException {
        String entry = received.poll(LIMIT_S, TimeUnit.SECONDS);
        return entry == null ? "nothing" : entry;
    }

    boolean hasReceivedAll() {
        return received.isEmpty();
    }

    @Override
    public void respond(FullHttpResponse response) {
        String body = response.content().toString(StandardCharsets.UTF_8);
        received.add("response " + response.status().code() + " " + body);
        response.release();
    }

    @Override
    public void beginResponse(HttpResponse head) {
        received.add("head " + head.status().code());
    }

    @Override
    public void write(ByteBuf chunk) {
        received.addAll(List.of(EVENT_END.split(chunk.toString(StandardCharsets.UTF_8))));
        chunk.release();
    }

    @Override
    public void end() {
        received.add(END);
    }

    @Override
    public void abort() {
        received.add(ABORT);
    }

    @Override
    public void fail(RuntimeException error) {
        received.add("failed: " + error);
    }

    @Override
    public boolean isWritable() {
        return writable;
    }
}

package io.figspan.gateway.caller;

import io.netty.channel.Channel;
import io.netty.handler.codec.http.HttpObject;
import io.netty.util.ReferenceCountUtil;
import java.util.ArrayDeque;
import java.util.Deque;

/** Owns the messages that have arrived on a connection behind the request that is answered, until they are polled. */
final class PipelinedMessages {
    /** Pipelined messages above which reading from the connection stops. */
    private static final int MAX_PIPELINED_MESSAGES = 64;

    private final Channel channel;
    private final Deque<HttpObject> messages = new ArrayDeque<>();

    PipelinedMessages(Channel channel) {
        this.channel = channel;
    }

    /** Adds a message and takes ownership of it. Reading stops if there are too many. */
    void add(HttpObject message) {
        messages.add(message);
        if (messages.size() > MAX_PIPELINED_MESSAGES) {
            channel.config().setAutoRead(false);
        }
    }

    /** Removes the first message and passes its ownership on. */
    HttpObject poll() {
        return messages.poll();
    }

    boolean isEmpty() {
        return messages.isEmpty();
    }

    /** Whether requests have arrived behind the one that is answered. The connection closes after the last of them. */
    boolean hasRequests() {
        return !messages.isEmpty() || !channel.config().isAutoRead();
    }

    /** Reads from the connection again if reading had stopped and all messages are handled. */
    void resumeReading() {
        if (!channel.config().isAutoRead() && messages.isEmpty()) {
            channel.config().setAutoRead(true);
        }
    }

    void release() {
        messages.forEach(ReferenceCountUtil::release);
        messages.clear();
    }
}

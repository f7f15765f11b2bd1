package io.figspan.gateway.http;

import io.netty.channel.Channel;
import io.netty.channel.FixedRecvByteBufAllocator;
import io.netty.channel.RecvByteBufAllocator;
import io.netty.channel.WriteBufferWaterMark;

/**
 * Settings and operations that all channels share. The futures of the operations are ignored: a failed write closes the
 * channel, and its handlers are notified of the close.
 */
public final class Channels {
    /** Size of the buffer that each read fills. */
    public static final int READ_BYTES = 16 * 1_024;

    /** Enough for the longest head and a small body, which are then received at once. */
    private static final int MAX_READS_PER_TURN = 2;

    private static final int MIN_UNSENT_BYTES = 16 * 1_024;
    private static final int MAX_UNSENT_BYTES = 32 * 1_024;

    private Channels() {}

    /** Bounds what the event loop reads from one channel before it gets to the other channels and the timers. */
    public static RecvByteBufAllocator boundedReads() {
        return new FixedRecvByteBufAllocator(READ_BYTES).maxMessagesPerRead(MAX_READS_PER_TURN);
    }

    /** Bounds what a peer that reads slowly leaves unsent before the source is no longer read. */
    public static WriteBufferWaterMark boundedWrites() {
        return new WriteBufferWaterMark(MIN_UNSENT_BYTES, MAX_UNSENT_BYTES);
    }

    public static void close(Channel channel) {
        var unused = channel.close();
    }

    public static void write(Channel channel, Object message) {
        var unused = channel.write(message);
    }

    public static void writeAndFlush(Channel channel, Object message) {
        var unused = channel.writeAndFlush(message);
    }
}

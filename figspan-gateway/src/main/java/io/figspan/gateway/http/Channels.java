package io.figspan.gateway.http;

import io.netty.channel.Channel;

/**
 * Channel operations whose future is ignored: a failed write closes the channel, and its handlers are notified of the
 * close.
 */
public final class Channels {
    private Channels() {}

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

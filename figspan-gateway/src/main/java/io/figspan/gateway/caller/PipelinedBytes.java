package io.figspan.gateway.caller;

import io.figspan.gateway.http.Channels;
import io.figspan.gateway.http.ClientMemory;
import io.figspan.gateway.http.ClientMemory.Kind;
import io.figspan.gateway.http.PausableServerCodec;
import io.netty.channel.Channel;

/** The bytes of one connection that are not decoded yet: a part of a line, or requests behind the one in progress. */
final class PipelinedBytes {
    /** Bytes behind the request in progress above which reading from the connection stops. */
    private static final int MAX_BYTES = 4 * 1_024;

    private final Channel channel;
    private final PausableServerCodec codec;
    private final ClientMemory.Account memory;
    private boolean answering;

    PipelinedBytes(Channel channel, PausableServerCodec codec, ClientMemory.Account memory) {
        this.channel = channel;
        this.codec = codec;
        this.memory = memory;
    }

    /** A request is complete; what has arrived behind it stays undecoded until it is answered. */
    void pause() {
        answering = true;
        codec.pause();
    }

    /** The request is answered. */
    void resume() {
        answering = false;
        codec.resume();
        update();
    }

    /** Counts the bytes after some have arrived or been decoded. */
    void update() {
        int bytes = codec.undecodedBytes();
        // A buffer that holds any bytes has the size of a read.
        long heldBytes = bytes == 0 ? 0 : Math.max(bytes, Channels.READ_BYTES);
        if (!memory.trySet(Kind.UNDECODED_BYTES, heldBytes)) {
            Channels.close(channel);
            return;
        }
        boolean isReading = !answering || bytes <= MAX_BYTES;
        channel.config().setAutoRead(isReading);
    }

    boolean isEmpty() {
        return codec.undecodedBytes() == 0;
    }

    /** Whether requests have arrived behind the one that is answered. The connection closes after the last of them. */
    boolean hasRequests() {
        return !isEmpty() || !channel.config().isAutoRead();
    }
}

package io.figspan.gateway.http;

import io.netty.buffer.ByteBuf;
import java.util.OptionalLong;

/**
 * The complete events of a stream that were read together, with their bytes unchanged. Those that make progress have
 * data or a new id; the others are filler: empty lines, comments and fields without a value.
 *
 * @param bytes all events, owned by the receiver of the batch
 * @param progressEvents number of events that make progress
 * @param lastId id of the last event with a numeric one
 * @param trailingFillerBytes length of the filler behind the last event that makes progress, in bytes
 */
public record EventBatch(ByteBuf bytes, long progressEvents, OptionalLong lastId, int trailingFillerBytes) {
    /** Whether the stream has made progress with these events. */
    public boolean hasProgress() {
        return progressEvents > 0;
    }

    public void release() {
        bytes.release();
    }
}

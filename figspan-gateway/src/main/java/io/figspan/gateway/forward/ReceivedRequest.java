package io.figspan.gateway.forward;

import io.figspan.gateway.http.ClientMemory;
import io.figspan.gateway.protocol.CallerRequest;
import io.netty.buffer.ByteBuf;

/**
 * A complete request and the one owner of its memory. The memory counts for as long as this or a write to a server
 * refers to it, whether or not the caller is still connected. Confined to the event loop.
 */
public final class ReceivedRequest {
    private final CallerRequest head;
    private final ByteBuf body;
    private final ClientMemory.Account headMemory;
    private boolean isBodyReleased;

    /**
     * Takes ownership of a request.
     *
     * @param body counts against a budget of its own until its last reference is released
     * @param headMemory account of the head, which only this owner closes
     */
    public ReceivedRequest(CallerRequest head, ByteBuf body, ClientMemory.Account headMemory) {
        this.head = head;
        this.body = body;
        this.headMemory = headMemory;
    }

    CallerRequest head() {
        return head;
    }

    /** The body, which must not be used after {@link #releaseBody} without a reference of one's own. */
    ByteBuf body() {
        return body;
    }

    /** The body is not sent any more; what is being written keeps its own reference. Does nothing the second time. */
    void releaseBody() {
        if (!isBodyReleased) {
            isBodyReleased = true;
            body.release();
        }
    }

    /** Nothing refers to the request any more. Does nothing the second time. */
    public void release() {
        releaseBody();
        headMemory.close();
    }
}

package io.figspan.gateway.caller;

import io.figspan.gateway.http.BufferedBody;
import io.figspan.gateway.http.ClientMemory;
import io.figspan.gateway.http.ClientMemory.Kind;
import io.figspan.gateway.protocol.CallerRequest;
import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpRequest;

/** What one connection holds of the request in progress, and its account in the budgets of all connections. */
final class HeldRequest {
    private final CallerServer server;
    private final ClientMemory.Account memory;
    private CallerRequest head;
    private BufferedBody body;
    private int maxBodyBytes;

    HeldRequest(CallerServer server, ClientMemory.Evictor evictor) {
        this.server = server;
        this.memory = server.memory().open(evictor);
    }

    ClientMemory.Account memory() {
        return memory;
    }

    /**
     * Keeps the head in a short form, since its decoded lines take many times their bytes.
     *
     * @return whether the memory has room for it
     */
    boolean begin(HttpRequest request) {
        maxBodyBytes = server.limits().maxBodyBytes();
        body = new BufferedBody(server.bodies(), maxBodyBytes);
        head = server.decode(request);
        memory.release(Kind.ARRIVING_HEADS);
        return memory.trySet(Kind.HEADS_BEFORE_BODIES, head.memoryBytes());
    }

    BufferedBody.Outcome add(ByteBuf chunk) {
        return body.add(chunk);
    }

    /**
     * The request is complete, and its answer is awaited.
     *
     * @return whether the memory has room for it until then
     */
    boolean complete() {
        memory.release(Kind.ARRIVING_HEADS);
        memory.release(Kind.HEADS_BEFORE_BODIES);
        return memory.trySet(Kind.HEADS_BEFORE_ANSWERS, head.memoryBytes());
    }

    /** Transfers the body to the caller of this method; it counts until {@link #end}. */
    ByteBuf detachBody() {
        return body.detachBytes();
    }

    boolean hasHead() {
        return head != null;
    }

    CallerRequest head() {
        return head;
    }

    long bodyBytes() {
        return body == null ? 0 : body.lengthBytes();
    }

    /** The limit of bodies under which the request began. */
    int maxBodyBytes() {
        return maxBodyBytes;
    }

    /** The request is answered. */
    void end() {
        head = null;
        if (body != null) {
            body.release();
            body = null;
        }
        memory.release(Kind.ARRIVING_HEADS);
        memory.release(Kind.HEADS_BEFORE_BODIES);
        memory.release(Kind.HEADS_BEFORE_ANSWERS);
    }

    /** The connection is closed. */
    void close() {
        end();
        memory.close();
    }
}

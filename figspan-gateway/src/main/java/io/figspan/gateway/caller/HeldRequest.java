package io.figspan.gateway.caller;

import io.figspan.gateway.forward.ReceivedRequest;
import io.figspan.gateway.http.BufferedBody;
import io.figspan.gateway.http.ClientMemory;
import io.figspan.gateway.http.ClientMemory.Kind;
import io.figspan.gateway.protocol.CallerRequest;
import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpUtil;
import java.util.Optional;

/**
 * What one connection holds of the request in progress, and its account in the budgets of all connections. From {@link
 * #complete} on, whoever answers the request owns its memory.
 */
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
        body = new BufferedBody(server.bodies(), maxBodyBytes, HttpUtil.getContentLength(request, (long) maxBodyBytes));
        head = server.decode(request);
        memory.release(Kind.ARRIVING_HEADS);
        return memory.trySet(Kind.HEADS_BEFORE_BODIES, head.memoryBytes());
    }

    BufferedBody.Outcome add(ByteBuf chunk) {
        return body.add(chunk);
    }

    /**
     * The request is complete, and its answer is awaited: transfers its memory to the caller of this method.
     *
     * @return empty if the memory has no room for the head until then
     */
    Optional<ReceivedRequest> complete() {
        memory.release(Kind.ARRIVING_HEADS);
        memory.release(Kind.HEADS_BEFORE_BODIES);
        ClientMemory.Account headMemory = server.memory().open(kind -> {});
        if (!headMemory.trySet(Kind.HEADS_BEFORE_ANSWERS, head.memoryBytes())) {
            return Optional.empty();
        }
        return Optional.of(new ReceivedRequest(head, body.detachBytes(), headMemory));
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
    }

    /** The connection is closed. */
    void close() {
        end();
        memory.close();
    }
}

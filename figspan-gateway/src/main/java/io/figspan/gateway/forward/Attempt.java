package io.figspan.gateway.forward;

import io.figspan.core.id.BackendServerId;
import io.figspan.gateway.backend.BackendPools;
import io.figspan.gateway.backend.HoldGroup;
import io.figspan.gateway.http.ByteBudget;
import io.figspan.gateway.http.CollectedBody;
import io.figspan.gateway.http.ConnectionFailure;
import io.figspan.gateway.http.EventSplitter;
import io.figspan.gateway.http.ExchangeListener;
import io.figspan.gateway.http.HostPort;
import io.figspan.gateway.http.HttpConnection;
import io.figspan.gateway.protocol.BackendProtocol;
import io.figspan.gateway.protocol.BackendResponse;
import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpResponse;
import java.util.List;
import java.util.OptionalLong;

/**
 * One sending of a request to one backend server. It checks that the answer belongs to the request, splits a stream
 * into whole events and collects other answers as a whole. All methods run on the event loop.
 */
final class Attempt implements ExchangeListener {
    /** An event of a stream is a few hundred bytes; one of this length is no event. */
    private static final int MAX_EVENT_BYTES = 256 * 1_024;

    /** Longest body of one answer that is passed on as a whole. */
    private static final int MAX_BODY_BYTES = 4 * 1_024 * 1_024;

    /** Longest rest of an answer that is read for nobody, to learn when the server is done. */
    private static final long MAX_DISCARDED_BYTES = MAX_BODY_BYTES;

    private final Owner owner;
    private final BackendProtocol protocol;
    private final BackendPools pools;
    private final BackendServerId server;
    private final HttpConnection connection;
    private final HoldGroup holds;
    private final List<BackendServerId> readers;
    private final String attemptId;
    private final boolean streaming;
    private final long sentNanos = System.nanoTime();
    private final EventSplitter splitter = new EventSplitter(MAX_EVENT_BYTES);
    private final CollectedBody whole;
    private long discardedBytes;
    private HttpResponse head;
    private BackendResponse answer;
    private long pieces;
    private boolean discarded;
    private boolean ended;

    /** Hears of the answer. After one of the ends nothing more is told. */
    interface Owner {
        /** A whole event of a stream, which is taken over; {@code pieces} have come so far. */
        void onEvent(Attempt attempt, ByteBuf event, OptionalLong id, long pieces);

        /** The stream is complete. */
        void onStreamEnd(Attempt attempt);

        /** The answer is complete; its body is taken over. */
        void onWholeAnswer(Attempt attempt, ByteBuf body);

        /** There will be no answer. */
        void onFailed(Attempt attempt, AttemptEnd end, String reason);

        /** The server has finished work whose answer nobody waits for. */
        void onDiscardedEnd(Attempt attempt);
    }

    Attempt(
            Owner owner,
            BackendProtocol protocol,
            BackendPools pools,
            BackendServerId server,
            HttpConnection connection,
            HoldGroup holds,
            List<BackendServerId> readers,
            String attemptId,
            boolean streaming,
            ByteBudget bodies) {
        this.owner = owner;
        this.protocol = protocol;
        this.pools = pools;
        this.server = server;
        this.connection = connection;
        this.holds = holds;
        this.readers = readers;
        this.attemptId = attemptId;
        this.streaming = streaming;
        this.whole = new CollectedBody(bodies, MAX_BODY_BYTES);
    }

    BackendServerId server() {
        return server;
    }

    /** The memory that other engines hold for this sending. */
    HoldGroup holds() {
        return holds;
    }

    /** The other engines that read parts of the prompt. */
    List<BackendServerId> readers() {
        return readers;
    }

    long sentNanos() {
        return sentNanos;
    }

    /** The head of the answer, once it has come. */
    HttpResponse head() {
        return head;
    }

    BackendResponse answer() {
        return answer;
    }

    /** Stops or resumes taking pieces from the server. */
    void setReading(boolean reading) {
        connection.setReading(reading);
    }

    /** Stops the server's work, as far as closing the connection does. The owner is told nothing more. */
    void cancel() {
        end();
        connection.abort();
    }

    /** Lets the server finish; its answer is dropped. */
    void discard() {
        discarded = true;
    }

    // Answer

    @Override
    public void onHead(HttpResponse received) {
        head = received;
        answer = protocol.decode(received);
        if (!answer.attemptId().equals(attemptId)) {
            abort("answer to another request");
        } else if (answer.isSuccess() && !answer.isSigned()) {
            abort("success without signature");
        }
    }

    private boolean isStream() {
        return streaming && answer.isSuccess();
    }

    @Override
    public void onContent(ByteBuf content) {
        if (discarded) {
            drop(content);
            return;
        }
        if (isStream()) {
            if (!splitter.add(content, this::passOn)) {
                abort("event is too long");
            }
            return;
        }
        if (whole.add(content) != CollectedBody.Outcome.TAKEN) {
            abort("answer is too long");
        }
    }

    private void drop(ByteBuf content) {
        discardedBytes += content.readableBytes();
        if (discardedBytes > MAX_DISCARDED_BYTES) {
            connection.abort();
            end();
            owner.onDiscardedEnd(this);
        }
    }

    private void passOn(ByteBuf event, OptionalLong id) {
        if (ended) {
            event.release();
            return;
        }
        pieces++;
        owner.onEvent(this, event, id, pieces);
    }

    @Override
    public void onComplete() {
        pools.release(server, connection);
        if (ended) {
            return;
        }
        if (discarded) {
            end();
            owner.onDiscardedEnd(this);
        } else if (answer.provesNotRun()) {
            AttemptEnd how = isFaultOfAnother() ? AttemptEnd.HELPER_FAILED : AttemptEnd.TURNED_AWAY;
            fail(how, "status " + answer.status() + faultyServer());
        } else if (isStream()) {
            completeStream();
        } else {
            ByteBuf body = whole.takeWhole();
            end();
            owner.onWholeAnswer(this, body);
        }
    }

    private boolean isFaultOfAnother() {
        String own = HostPort.of(connection.address());
        return answer.faultyServer().filter(address -> !address.equals(own)).isPresent();
    }

    private String faultyServer() {
        return answer.faultyServer().map(address -> " for " + address).orElse("");
    }

    private void completeStream() {
        if (splitter.hasPartialEvent()) {
            fail(AttemptEnd.BROKEN, "stream ended within an event");
            return;
        }
        end();
        owner.onStreamEnd(this);
    }

    @Override
    public void onFailure(ConnectionFailure failure) {
        if (discarded) {
            end();
            owner.onDiscardedEnd(this);
            return;
        }
        fail(failure.mayHaveArrived() ? AttemptEnd.BROKEN : AttemptEnd.NOT_CONNECTED, failure.toString());
    }

    private void abort(String reason) {
        connection.abort();
        fail(AttemptEnd.BROKEN, reason);
    }

    private void fail(AttemptEnd how, String reason) {
        if (!ended) {
            end();
            owner.onFailed(this, how, reason);
        }
    }

    private void end() {
        if (!ended) {
            ended = true;
            splitter.release();
            whole.end();
        }
    }
}

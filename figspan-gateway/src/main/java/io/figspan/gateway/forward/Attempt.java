package io.figspan.gateway.forward;

import io.figspan.core.id.BackendIncarnation;
import io.figspan.core.id.BackendServerId;
import io.figspan.gateway.backend.BackendPools;
import io.figspan.gateway.backend.HoldGroup;
import io.figspan.gateway.http.BodyFraming;
import io.figspan.gateway.http.BufferedBody;
import io.figspan.gateway.http.ByteBudget;
import io.figspan.gateway.http.ConnectionFailure;
import io.figspan.gateway.http.EventBatch;
import io.figspan.gateway.http.ExchangeListener;
import io.figspan.gateway.http.HostPort;
import io.figspan.gateway.http.HttpConnection;
import io.figspan.gateway.protocol.BackendProtocol;
import io.figspan.gateway.protocol.BackendResponse;
import io.figspan.wire.http.ResponseVerdict;
import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpResponse;
import java.util.List;
import java.util.Optional;

/**
 * One attempt to run a request on one backend server. It verifies that the response belongs to the request, splits a
 * streamed response into complete events and buffers any other response. All methods must be called on the event loop.
 */
final class Attempt implements ExchangeListener {
    /** Maximum length of a buffered response body. */
    private static final int MAX_BODY_BYTES = 4 * 1_024 * 1_024;

    /** Maximum length of a discarded response that is read only to learn when the server has finished. */
    private static final long MAX_DISCARDED_BYTES = MAX_BODY_BYTES;

    private final Listener listener;
    private final BackendProtocol protocol;
    private final BackendPools pools;
    private final BackendIncarnation server;
    private final HttpConnection connection;
    private final HoldGroup holds;
    private final List<BackendServerId> readers;
    private final String attemptId;
    private final boolean streaming;
    private final long sentNanos = System.nanoTime();
    private final EventStream events;
    private final BufferedBody responseBody;
    private long discardedBytes;
    private HttpResponse head;
    private BackendResponse response;
    private long eventCount;
    private boolean discarded;
    private boolean complete;
    private Optional<ConnectionFailure> connectionFailure = Optional.empty();
    private Optional<ResponseVerdict.Invalid> invalidResponse = Optional.empty();
    private boolean ended;

    /**
     * Receives the response. No method is called after {@link #onStreamEnd}, {@link #onBufferedResponse}, {@link
     * #onFailed} or {@link #onDiscardedEnd}.
     */
    interface Listener {
        /** Whether the request may still be written, after the connection has been established. */
        boolean mayWrite(Attempt attempt);

        /**
         * What the head of the response says of the server may be used: it belongs to the request, and the response is
         * a stream, or has ended without invalid bytes.
         */
        void onValidHead(Attempt attempt);

        /** Complete events of a stream, owned by the callee; {@link #eventCount} includes them. */
        void onEvents(Attempt attempt, EventBatch events);

        /** The streamed response is complete. */
        void onStreamEnd(Attempt attempt);

        /** The buffered response is complete; its body is owned by the callee. */
        void onBufferedResponse(Attempt attempt, ByteBuf body);

        /** The attempt failed without a response that can be forwarded. */
        void onFailed(Attempt attempt, AttemptEnd end, String reason);

        /** The server has finished work whose response is discarded. */
        void onDiscardedEnd(Attempt attempt);
    }

    Attempt(
            Listener listener,
            BackendProtocol protocol,
            BackendPools pools,
            BackendIncarnation server,
            HttpConnection connection,
            HoldGroup holds,
            List<BackendServerId> readers,
            String attemptId,
            boolean streaming,
            long maxGapNanos,
            ByteBudget responseBodyBudget) {
        this.listener = listener;
        this.protocol = protocol;
        this.pools = pools;
        this.server = server;
        this.connection = connection;
        this.holds = holds;
        this.readers = readers;
        this.attemptId = attemptId;
        this.streaming = streaming;
        this.events = new EventStream(maxGapNanos, responseBodyBudget);
        this.responseBody = new BufferedBody(responseBodyBudget, MAX_BODY_BYTES);
    }

    BackendServerId server() {
        return server.server();
    }

    BackendIncarnation incarnation() {
        return server;
    }

    /** Whether the attempt ended because the server closed the connection before its response was complete. */
    boolean hasLostConnection() {
        return connectionFailure.filter(ConnectionFailure::isBreak).isPresent();
    }

    /** Why the connection gave no complete response; empty if that is not the reason for which the attempt ended. */
    Optional<ConnectionFailure> connectionFailure() {
        return connectionFailure;
    }

    /** Why the server's bytes are no response; empty if that is not the reason for which the attempt ended. */
    Optional<ResponseVerdict.Invalid> invalidResponse() {
        return invalidResponse;
    }

    /** Whether the server's response was received to its end, also if it is discarded. */
    boolean isComplete() {
        return complete;
    }

    /** The holds at other engines for this attempt. */
    HoldGroup holds() {
        return holds;
    }

    /** The helpers: the other engines that read parts of the prompt. */
    List<BackendServerId> readers() {
        return readers;
    }

    long sentNanos() {
        return sentNanos;
    }

    /** The head of the response; null until it is received. */
    HttpResponse head() {
        return head;
    }

    BackendResponse response() {
        return response;
    }

    /** Number of events of the stream so far that made progress. */
    long eventCount() {
        return eventCount;
    }

    /** The helper that the response names by its address as faulty; the address may belong to another server by now. */
    Optional<BackendServerId> faultyHelper() {
        Optional<String> address = response.faultyServer();
        return readers.stream()
                .filter(reader -> address.isPresent() && hasAddress(reader, address.get()))
                .findFirst();
    }

    private boolean hasAddress(BackendServerId id, String address) {
        return pools.find(id).filter(found -> found.hasAddress(address)).isPresent();
    }

    /** Sends the request to the server. */
    void send(FullHttpRequest request) {
        connection.send(request, this);
    }

    /** Pauses or resumes reading from the server, unless its response is complete and others may use the connection. */
    void setReading(boolean reading) {
        if (complete) {
            return;
        }
        if (reading) {
            events.restart(System.nanoTime());
        }
        connection.setReading(reading);
    }

    /** Cancels the server's work, as far as closing the connection does so. The listener is not called any more. */
    void cancel() {
        end();
        connection.abort();
    }

    /** Lets the server finish its work, but discards the response. */
    void discard() {
        discarded = true;
    }

    /**
     * While the connection was being established, the server may have begun to drain, this host to stop, or the zone of
     * the server or of a helper may have been evacuated.
     */
    @Override
    public boolean mayWrite() {
        return pools.acceptsRequests(server())
                && readers.stream().noneMatch(pools::isEvacuated)
                && listener.mayWrite(this);
    }

    /** Whether the server or a helper is in an evacuated zone. */
    boolean isEvacuated() {
        return pools.isEvacuated(server()) || readers.stream().anyMatch(pools::isEvacuated);
    }

    /** Whether the server may have received the request. */
    boolean isWritten() {
        return !connection.isRequestPending();
    }

    // Response

    @Override
    public void onHead(HttpResponse received) {
        head = received;
        response = protocol.decode(received);
        if (!response.attemptId().equals(attemptId)) {
            abort(AttemptEnd.BROKEN, "answer to another request");
        } else if (response.isSuccess() && !response.isSigned()) {
            abort(AttemptEnd.BROKEN, "success without signature");
        } else {
            events.restart(System.nanoTime());
            if (isStream()) {
                listener.onValidHead(this);
            }
        }
    }

    private boolean isStream() {
        return streaming && response != null && response.isSuccess();
    }

    @Override
    public void onContent(ByteBuf content) {
        if (discarded) {
            discardContent(content);
            return;
        }
        if (isStream()) {
            events.append(content);
            return;
        }
        BufferedBody.Outcome outcome = responseBody.add(content);
        if (outcome != BufferedBody.Outcome.TAKEN) {
            abort(AttemptEnd.UNBOUNDED, "answer is too long: " + outcome);
        }
    }

    private void discardContent(ByteBuf content) {
        discardedBytes += content.readableBytes();
        if (discardedBytes > MAX_DISCARDED_BYTES) {
            connection.abort();
            end();
            listener.onDiscardedEnd(this);
        }
    }

    @Override
    public void onReadComplete() {
        if (discarded || !isStream()) {
            return;
        }
        Optional<EventBatch> taken = events.takeComplete();
        Optional<String> fault = events.exceededBound(taken, System.nanoTime());
        taken.ifPresent(this::forward);
        fault.ifPresent(reason -> abort(AttemptEnd.UNBOUNDED, reason));
    }

    /** Forwards all events that were read at once together, so that the cost of a read is bounded. */
    private void forward(EventBatch batch) {
        if (ended || discarded) {
            batch.release();
            return;
        }
        eventCount += batch.progressEvents();
        listener.onEvents(this, batch);
    }

    @Override
    public void onComplete() {
        complete = true;
        bufferedHeadIsValid();
        events.takeComplete().ifPresent(this::forward);
        pools.release(server(), connection);
        if (ended) {
            return;
        }
        if (discarded) {
            end();
            listener.onDiscardedEnd(this);
        } else if (response.provesNotRun()) {
            AttemptEnd end = isHelperFault() ? AttemptEnd.HELPER_FAILED : AttemptEnd.TURNED_AWAY;
            fail(end, "status " + response.status() + faultyServerSuffix());
        } else if (isStream()) {
            endStream();
        } else {
            ByteBuf body = responseBody.detachBytes();
            end();
            listener.onBufferedResponse(this, body);
        }
    }

    /** Until its body has ended, a response that is not passed on in pieces may still turn out to be invalid. */
    private void bufferedHeadIsValid() {
        if (!isStream()) {
            listener.onValidHead(this);
        }
    }

    private boolean isHelperFault() {
        String own = HostPort.of(connection.address());
        return response.faultyServer().filter(address -> !address.equals(own)).isPresent();
    }

    private String faultyServerSuffix() {
        return response.faultyServer().map(address -> " for " + address).orElse("");
    }

    private void endStream() {
        if (isEndedByClose() && (events.hasPartialEvent() || eventCount == 0)) {
            connectionFailure = Optional.of(ConnectionFailure.CLOSED_IN_ANSWER);
        }
        if (events.hasPartialEvent()) {
            fail(AttemptEnd.BROKEN, "stream ended within an event");
            return;
        }
        if (eventCount == 0 && isEndedByClose()) {
            fail(AttemptEnd.BROKEN, "the connection ended before the first event");
            return;
        }
        end();
        listener.onStreamEnd(this);
    }

    /** Whether only the end of the connection marks the end of the response. */
    boolean isEndedByClose() {
        return !BodyFraming.of(head).isSelfDelimiting();
    }

    @Override
    public void onFailure(ConnectionFailure failure) {
        if (failure.isWithinResponse()) {
            bufferedHeadIsValid();
        }
        connectionEnded(failure, failure.toString());
    }

    @Override
    public void onInvalid(ResponseVerdict.Invalid invalid) {
        invalidResponse = Optional.of(invalid);
        connectionEnded(ConnectionFailure.MALFORMED, invalid.toString());
    }

    private void connectionEnded(ConnectionFailure failure, String reason) {
        events.takeComplete().ifPresent(this::forward);
        connectionFailure = Optional.of(failure);
        if (discarded) {
            end();
            listener.onDiscardedEnd(this);
            return;
        }
        fail(AttemptEnd.of(failure), reason);
    }

    private void abort(AttemptEnd end, String reason) {
        connection.abort();
        fail(end, reason);
    }

    private void fail(AttemptEnd end, String reason) {
        if (!ended) {
            end();
            listener.onFailed(this, end, reason);
        }
    }

    private void end() {
        if (!ended) {
            ended = true;
            events.release();
            responseBody.release();
        }
    }
}

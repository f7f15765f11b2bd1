package io.figspan.gateway.backend;

import io.figspan.control.hold.HoldAction;
import io.figspan.core.id.BackendIncarnation;
import io.figspan.core.id.BackendServerId;
import io.figspan.gateway.http.BufferedExchange;
import io.figspan.gateway.http.ExchangeTimeout;
import io.figspan.gateway.http.HttpConnection;
import io.figspan.gateway.http.ResponseLimit;
import io.figspan.gateway.protocol.BackendProtocol;
import io.netty.channel.EventLoop;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpResponse;
import java.net.InetSocketAddress;
import java.util.Optional;
import java.util.function.Consumer;

/**
 * Sends requests to engines over HTTP. Reservations and releases use pooled connections. Each probe opens a connection
 * of its own, because the engine may no longer be registered and then has no pool.
 */
public final class HttpEngineClient implements EngineClient {
    private static final int PROBE_CONNECT_TIMEOUT_MS = 400;

    /** An order is answered with some ten bytes, a report with a line for each of up to 64 reservations. */
    private static final int MAX_RESPONSE_BYTES = 16 * 1_024;

    private static final long MAX_RESPONSES_BYTES = 1_024 * 1_024;

    private final EventLoop loop;
    private final BackendPools pools;
    private final BackendProtocol protocol;
    private final ResponseLimit limit = ResponseLimit.of(MAX_RESPONSE_BYTES, MAX_RESPONSES_BYTES);

    public HttpEngineClient(EventLoop loop, BackendPools pools, BackendProtocol protocol) {
        this.loop = loop;
        this.pools = pools;
        this.protocol = protocol;
    }

    @Override
    public boolean isRegistered(BackendServerId engine) {
        return pools.find(engine).isPresent();
    }

    @Override
    public boolean acceptsRequests(BackendServerId engine) {
        return pools.acceptsRequests(engine);
    }

    @Override
    public boolean isPaused(BackendServerId engine) {
        return !pools.pauses().admits(engine, System.nanoTime());
    }

    @Override
    public boolean tryMessage(BackendServerId engine) {
        return pools.pauses().tryMessage(engine, System.nanoTime());
    }

    @Override
    public void reserve(HoldAction.Reserve reserve, long timeoutMs, Consumer<EngineOutcome> listener) {
        BackendServerId engine = reserve.engine().server();
        String name = reserve.handle().toString();
        FullHttpRequest request = protocol.reserve(engine, name, reserve.tokens(), reserve.timeLeftMs());
        sendPooled(engine, request, timeoutMs, listener);
    }

    @Override
    public void release(HoldAction.Release release, long timeoutMs, Consumer<EngineOutcome> listener) {
        BackendServerId engine = release.engine().server();
        FullHttpRequest request = protocol.release(engine, release.handle().toString());
        sendPooled(engine, request, timeoutMs, listener);
    }

    private void sendPooled(
            BackendServerId engine, FullHttpRequest request, long timeoutMs, Consumer<EngineOutcome> listener) {
        HttpConnection connection = pools.acquire(engine, false, System.nanoTime());
        Runnable returnToPool = () -> pools.release(engine, connection);
        send(connection, request, timeoutMs, new OutcomeListener(engine, returnToPool, listener));
    }

    private void send(HttpConnection connection, FullHttpRequest request, long timeoutMs, OutcomeListener listener) {
        ExchangeTimeout timeout = ExchangeTimeout.ofTotal(timeoutMs);
        BufferedExchange.send(loop, connection, request, timeout, limit, this::isExpected, listener);
    }

    /** These requests have no attempt id, so a response with one is an extra one to an earlier request. */
    private boolean isExpected(HttpResponse head) {
        return protocol.decode(head).attemptId().isEmpty();
    }

    @Override
    public void probe(
            BackendServerId engine, InetSocketAddress address, long timeoutMs, Consumer<EngineOutcome> listener) {
        HttpConnection connection = HttpConnection.open(loop, address, PROBE_CONNECT_TIMEOUT_MS);
        FullHttpRequest request = protocol.report(engine);
        send(connection, request, timeoutMs, new OutcomeListener(engine, connection::close, listener));
    }

    /** Translates the result of an exchange. A failed exchange has closed its connection already. */
    private final class OutcomeListener implements BufferedExchange.Listener {
        private final Optional<BackendIncarnation> engine;
        private final Runnable releaseConnection;
        private final Consumer<EngineOutcome> listener;

        private OutcomeListener(BackendServerId engine, Runnable releaseConnection, Consumer<EngineOutcome> listener) {
            this.engine = pools.find(engine).map(BackendServer::incarnation);
            this.releaseConnection = releaseConnection;
            this.listener = listener;
        }

        @Override
        public void onResponse(HttpResponse head, byte[] body) {
            releaseConnection.run();
            engine.ifPresent(known -> pools.responded(known, protocol.decode(head), System.nanoTime()));
            listener.accept(outcome(head.status().code()));
        }

        private EngineOutcome outcome(int status) {
            if (protocol.isDone(status)) {
                return EngineOutcome.done();
            }
            String reason = "status " + status;
            return protocol.isNotHeld(status) ? EngineOutcome.refused(reason) : EngineOutcome.rejected(reason);
        }

        @Override
        public void onFailure(String reason) {
            listener.accept(EngineOutcome.noResponse(reason));
        }
    }
}

package io.figspan.wire;

import io.figspan.cluster.message.PeerAddress;
import io.figspan.cluster.message.PeerMessage;
import io.figspan.core.error.FigspanException;
import io.figspan.core.error.Location;
import io.figspan.core.error.ProblemKind;
import io.reactivex.rxjava3.core.Completable;
import io.reactivex.rxjava3.core.Flowable;
import io.reactivex.rxjava3.core.Single;
import io.reactivex.rxjava3.core.SingleEmitter;
import io.reactivex.rxjava3.processors.PublishProcessor;
import io.vertx.core.Context;
import io.vertx.core.Vertx;
import io.vertx.core.net.NetClient;
import io.vertx.core.net.NetClientOptions;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;
import java.util.function.Function;
import java.util.function.LongFunction;
import java.util.random.RandomGenerator;

/**
 * Sends messages to other hosts over one persistent connection per host, opened on first use. After a failed connect,
 * further messages are dropped until a jittered backoff has passed. Messages are sent and answers delivered on the
 * given context; the methods may be called from any thread.
 */
public final class PeerClient {
    /** Limit of the membership table; beyond it, a new connection replaces the least recently used one. */
    static final int MAX_CONNECTIONS = 1_024;

    /** Limit of the requests that wait for an answer; each is one order in flight. */
    static final int MAX_REQUESTS = 4_096;

    /** Far above the connect time within a site, so a peer that takes longer is dead or paused. */
    private static final int CONNECT_TIMEOUT_MS = 1_000;

    private final Vertx vertx;
    private final Context context;
    private final PeerIdentity identity;
    private final WireStats stats;
    private final SendQueueBudget sendBudget;
    private final RandomGenerator random;
    private final PublishProcessor<ReceivedMessage> inbound = PublishProcessor.create();
    private final Map<PeerAddress, OutboundLink> links = new LinkedHashMap<>(16, 0.75f, true);
    private final Map<Long, PendingRequest> pendingRequests = new HashMap<>();
    private final NetClient client;
    private long nextCorrelationId = 1;
    private Function<PeerAddress, Optional<PeerLink>> acceptedLinks = address -> Optional.empty();
    private boolean closed;

    private record PendingRequest(SingleEmitter<PeerMessage.OrderOutcome> emitter, long timer) {}

    public PeerClient(
            Vertx vertx,
            Context context,
            PeerIdentity identity,
            WireStats stats,
            SendQueueBudget sendBudget,
            RandomGenerator random) {
        this.vertx = vertx;
        this.context = context;
        this.identity = identity;
        this.stats = stats;
        this.sendBudget = sendBudget;
        this.random = random;
        this.client =
                vertx.createNetClient(new NetClientOptions().setTcpNoDelay(true).setConnectTimeout(CONNECT_TIMEOUT_MS));
    }

    /**
     * Reuses connections that the server has accepted, where there is one from the peer, so that two hosts keep one
     * connection instead of two. The caller must then pass outcomes received by the server to {@link #accept}.
     */
    public void reuseConnectionsOf(PeerServer server) {
        acceptedLinks = server::linkTo;
    }

    /** Messages received on the connections of this client, other than answers to requests. */
    public Flowable<ReceivedMessage> inbound() {
        return inbound;
    }

    /** Sends a message without waiting for an answer. The message is dropped if the peer can't be reached. */
    public void send(PeerAddress to, PeerMessage message) {
        onContext(() -> sendOnContext(to, message));
    }

    /**
     * Sends a request; the result is its outcome. Fails with {@code OWNER_UNREACHABLE} if no answer arrives in time;
     * the peer may or may not have executed the request then.
     *
     * @param messageFactory creates the message for a given correlation id, which the answer repeats
     */
    public Single<PeerMessage.OrderOutcome> request(
            PeerAddress to, LongFunction<PeerMessage> messageFactory, long timeoutMs) {
        return Single.create(emitter -> onContext(() -> requestOnContext(to, messageFactory, timeoutMs, emitter)));
    }

    /** Closes the connection to a peer that has left or died; a later send opens a new connection. */
    public void forget(PeerAddress address) {
        onContext(() -> {
            OutboundLink link = links.remove(address);
            if (link != null) {
                link.close();
            }
        });
    }

    public Completable close() {
        return Completable.create(emitter -> onContext(() -> {
            closed = true;
            new ArrayList<>(links.values()).forEach(OutboundLink::close);
            links.clear();
            new ArrayList<>(pendingRequests.keySet()).forEach(id -> failRequest(id, "this host is shutting down"));
            client.close().onComplete(ignored -> emitter.onComplete());
        }));
    }

    private void onContext(Runnable action) {
        if (Vertx.currentContext() == context) {
            action.run();
        } else {
            context.runOnContext(ignored -> action.run());
        }
    }

    private boolean sendOnContext(PeerAddress to, PeerMessage message) {
        if (closed) {
            return false;
        }
        OutboundLink link = links.get(to);
        if (link == null || !link.isOpen()) {
            Optional<PeerLink> reused = acceptedLinks.apply(to);
            if (reused.isPresent()) {
                return reused.get().send(message);
            }
        }
        if (link == null) {
            evictLeastRecentlyUsedLink();
            link = new OutboundLink(vertx, client, to, identity, stats, sendBudget, random, this::deliver);
            links.put(to, link);
        }
        return link.send(message);
    }

    private void evictLeastRecentlyUsedLink() {
        if (links.size() >= MAX_CONNECTIONS) {
            PeerAddress leastRecentlyUsed = links.keySet().iterator().next();
            links.remove(leastRecentlyUsed).close();
        }
    }

    private void requestOnContext(
            PeerAddress to,
            LongFunction<PeerMessage> messageFactory,
            long timeoutMs,
            SingleEmitter<PeerMessage.OrderOutcome> emitter) {
        if (pendingRequests.size() >= MAX_REQUESTS) {
            emitter.tryOnError(unreachable(to + " has " + MAX_REQUESTS + " requests of this host in flight"));
            return;
        }
        long correlationId = nextCorrelationId++;
        long timer = vertx.setTimer(
                Math.max(1, timeoutMs),
                ignored -> failRequest(correlationId, "no answer from " + to + " within " + timeoutMs + " ms"));
        pendingRequests.put(correlationId, new PendingRequest(emitter, timer));
        if (!sendOnContext(to, messageFactory.apply(correlationId))) {
            failRequest(correlationId, "no connection to " + to);
        }
    }

    private void failRequest(long correlationId, String reason) {
        PendingRequest request = pendingRequests.remove(correlationId);
        if (request != null) {
            vertx.cancelTimer(request.timer());
            request.emitter().tryOnError(unreachable(reason));
        }
    }

    /** Completes the request that this outcome answers; ignored if that request has already failed or timed out. */
    public void accept(PeerMessage.OrderOutcome outcome) {
        PendingRequest request = pendingRequests.remove(outcome.correlationId());
        if (request != null) {
            vertx.cancelTimer(request.timer());
            request.emitter().onSuccess(outcome);
        }
    }

    private void deliver(ReceivedMessage received) {
        if (received.message() instanceof PeerMessage.OrderOutcome outcome) {
            accept(outcome);
            return;
        }
        if (!inbound.offer(received)) {
            stats.recordDroppedMessage();
        }
    }

    private static FigspanException unreachable(String detail) {
        return new FigspanException(ProblemKind.OWNER_UNREACHABLE, detail, Location.of("peer request"));
    }
}

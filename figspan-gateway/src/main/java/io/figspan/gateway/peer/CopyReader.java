package io.figspan.gateway.peer;

import io.figspan.cluster.copy.CopyFetcher;
import io.figspan.cluster.copy.CopyFetcher.Decision;
import io.figspan.cluster.copy.ReadResult;
import io.figspan.cluster.message.Peer;
import io.figspan.core.error.FigspanException;
import io.figspan.core.event.Part;
import io.figspan.core.id.StoreRevision;
import io.figspan.gateway.http.BufferedExchange;
import io.figspan.gateway.http.ExchangeTimeout;
import io.figspan.gateway.http.HttpConnection;
import io.figspan.gateway.http.ResponseLimit;
import io.figspan.gateway.log.DecisionLog;
import io.figspan.gateway.metrics.GatewayMetrics;
import io.figspan.gateway.store.ItemChanges;
import io.figspan.gateway.store.ItemCopy;
import io.netty.channel.EventLoop;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.util.concurrent.ScheduledFuture;
import java.net.InetSocketAddress;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import java.util.random.RandomGenerator;

/**
 * Reads another host's copy of the store's items, when this host learns that it lacks changes and the store does not
 * deliver them in time. Executes the decisions of a {@link CopyFetcher}. All methods run on the event loop.
 */
public final class CopyReader {
    private static final ExchangeTimeout TIMEOUT = new ExchangeTimeout(
            CopyFetcher.STALL_TIMEOUT_MS, CopyFetcher.STALL_TIMEOUT_MS, CopyFetcher.READ_TIMEOUT_MS);

    private static final int CONNECT_TIMEOUT_MS = 400;

    /** The largest settings, or the entries of all servers; a reader has one response at a time. */
    private static final int MAX_RESPONSE_BYTES = 8 * 1_024 * 1_024;

    private static final int OK = 200;
    private static final int BUSY = 503;

    private final EventLoop loop;
    private final DecisionLog log;
    private final GatewayMetrics metrics;
    private final String name;
    private final int copyPort;
    private final ItemCopy copy;
    private final Consumer<ItemChanges> listener;
    private final BooleanSupplier watchesStore;
    private final CopyFetcher fetcher;
    private final ResponseLimit limit = ResponseLimit.of(MAX_RESPONSE_BYTES, MAX_RESPONSE_BYTES);
    private ScheduledFuture<?> nextDecision;

    /**
     * Creates a reader.
     *
     * @param name name of the copy
     * @param copyPort port on which the other hosts serve their copies
     * @param copy this host's copy
     * @param listener receives the changes that were read
     * @param watchesStore whether this host gets changes from the store itself
     */
    public CopyReader(
            EventLoop loop,
            DecisionLog log,
            GatewayMetrics metrics,
            String name,
            int copyPort,
            ItemCopy copy,
            Consumer<ItemChanges> listener,
            BooleanSupplier watchesStore,
            RandomGenerator random) {
        this.loop = loop;
        this.log = log;
        this.metrics = metrics;
        this.name = name;
        this.copyPort = copyPort;
        this.copy = copy;
        this.listener = listener;
        this.watchesStore = watchesStore;
        this.fetcher = new CopyFetcher(random);
    }

    /** Another host has the given revision. Reads a copy, unless this host catches up by itself first. */
    public void onPeerRevision(Peer peer, StoreRevision revision) {
        fetcher.announced(peer, revision, copy.revision(), System.nanoTime());
        decide();
    }

    /** Whether another host is known to have newer items than this one. */
    public boolean isBehind() {
        return fetcher.isBehind(copy.revision(), System.nanoTime());
    }

    /** Whether this host is behind and can't read from other hosts, so that it needs the store. */
    public boolean needsStore() {
        return fetcher.needsStore(copy.revision(), System.nanoTime());
    }

    private void decide() {
        Decision decision = fetcher.next(copy.revision(), watchesStore.getAsBoolean(), System.nanoTime());
        if (decision instanceof Decision.Read read) {
            read(read.source());
        } else if (decision instanceof Decision.Wait wait) {
            decideAfter(wait.nanos());
        }
    }

    private void decideAfter(long nanos) {
        if (nextDecision != null) {
            nextDecision.cancel(false);
        }
        nextDecision = loop.schedule(this::decide, nanos, TimeUnit.NANOSECONDS);
    }

    private void read(Peer source) {
        InetSocketAddress address = new InetSocketAddress(source.address().address(), copyPort);
        HttpConnection connection = HttpConnection.open(loop, address, CONNECT_TIMEOUT_MS);
        String target = CopyEndpoint.PATH + name + "?" + CopyEndpoint.AFTER + "=" + copy.revision();
        long startNanos = System.nanoTime();
        BufferedExchange.getCompressed(loop, connection, target, TIMEOUT, limit, new BufferedExchange.Listener() {
            @Override
            public void onResponse(HttpResponse head, byte[] body) {
                connection.close();
                ReadResult result = ReadResult.FAILED;
                try {
                    result = responded(source, head.status().code(), body, startNanos);
                } finally {
                    ended(source, result);
                }
            }

            @Override
            public void onFailure(String reason) {
                ended(source, notRead(source, reason));
            }
        });
    }

    private void ended(Peer source, ReadResult result) {
        fetcher.readEnded(source, result, System.nanoTime());
        decide();
    }

    private ReadResult responded(Peer source, int status, byte[] body, long startNanos) {
        return switch (status) {
            case OK -> apply(source, body, startNanos);
            case BUSY -> {
                metrics.count("copies.busy");
                yield ReadResult.BUSY;
            }
            default -> notRead(source, "status " + status);
        };
    }

    private ReadResult notRead(Peer source, String reason) {
        log.info(Part.SETTINGS, "copyNotRead")
                .text("copy", name)
                .text("host", source.host())
                .text("reason", reason)
                .write();
        return ReadResult.FAILED;
    }

    private ReadResult apply(Peer source, byte[] body, long startNanos) {
        try {
            ItemChanges changes = ItemChanges.decode(body);
            log.info(Part.SETTINGS, "copyRead")
                    .text("copy", name)
                    .text("host", source.host())
                    .text("revision", changes.revision())
                    .text("before", copy.revision())
                    .number("bytes", body.length)
                    .number("afterMs", TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - startNanos))
                    .write();
            listener.accept(changes);
            return ReadResult.COMPLETE;
        } catch (FigspanException e) {
            log.warn(Part.SETTINGS, "copyRefused")
                    .text("copy", name)
                    .text("host", source.host())
                    .text("reason", e.detail())
                    .write();
            return ReadResult.FAILED;
        }
    }
}

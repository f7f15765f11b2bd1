package io.figspan.gateway.store;

import com.fasterxml.jackson.core.JsonProcessingException;
import io.figspan.core.error.FigspanException;
import io.figspan.core.error.Location;
import io.figspan.core.error.ProblemKind;
import io.figspan.core.event.Part;
import io.figspan.gateway.http.BufferedExchange;
import io.figspan.gateway.http.ExchangeTimeout;
import io.figspan.gateway.http.HttpConnection;
import io.figspan.gateway.http.ResponseLimit;
import io.figspan.gateway.log.DecisionLog;
import io.figspan.gateway.log.StackTraceSummary;
import io.figspan.gateway.protocol.StoreProtocol;
import io.figspan.gateway.protocol.StoreProtocol.Page;
import io.figspan.gateway.store.PrefixWatcher.Action;
import io.netty.channel.EventLoop;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.util.concurrent.ScheduledFuture;
import java.net.InetSocketAddress;
import java.util.List;
import java.util.OptionalLong;
import java.util.concurrent.TimeUnit;
import java.util.random.RandomGenerator;

/**
 * Executes the actions of a {@link PrefixWatcher} over one persistent connection to the store. All methods run on the
 * event loop.
 */
public final class StoreWatcher {
    private static final int CONNECT_TIMEOUT_MS = 400;

    /** The store responds within milliseconds; one that takes longer than this is down, slow or partitioned. */
    private static final long RESPONSE_TIMEOUT_MS = 1_000;

    /** Time for a large response over a slow link, while its bytes arrive. */
    private static final long TRANSFER_TIMEOUT_MS = 4_000;

    /**
     * Twice the longest page of a listing, which ends after 1 MB of items and is a third longer in base64. Decoding
     * takes about four times as much memory. A watcher has one response at a time.
     */
    private static final int MAX_RESPONSE_BYTES = 3 * 1_024 * 1_024;

    private static final int OK = 200;

    /**
     * Mean interval between the polls of a host that relies on the reports of others. They only cover the case that no
     * report names a change for this long, since each report names the sender's revision.
     */
    private static final long IDLE_POLL_NANOS = TimeUnit.SECONDS.toNanos(30);

    private final EventLoop loop;
    private final String prefix;
    private final StoreProtocol protocol;
    private final StoreListener listener;
    private final DecisionLog log;
    private final PrefixWatcher prefixWatcher;
    private final RandomGenerator random;
    private final ResponseLimit limit = ResponseLimit.of(MAX_RESPONSE_BYTES, MAX_RESPONSE_BYTES);
    private InetSocketAddress address;
    private HttpConnection connection;
    private boolean reachable = true;
    private boolean watching = true;
    private boolean idle;
    private ScheduledFuture<?> nextPoll;
    private long epoch;
    private long lastResponseNanos = Long.MIN_VALUE;

    public StoreWatcher(
            EventLoop loop,
            InetSocketAddress address,
            String prefix,
            StoreProtocol protocol,
            StoreListener listener,
            DecisionLog log,
            RandomGenerator random) {
        this.loop = loop;
        this.address = address;
        this.prefix = prefix;
        this.protocol = protocol;
        this.listener = listener;
        this.log = log;
        this.prefixWatcher = new PrefixWatcher(random);
        this.random = random;
    }

    public void start() {
        execute(prefixWatcher.resume());
    }

    /** Makes all later calls at another address. */
    public void setAddress(InetSocketAddress newAddress) {
        address = newAddress;
    }

    /** Sets the longest time that the store holds each later watch. */
    public void setWatchWaitMs(long watchWaitMs) {
        prefixWatcher.setWatchWaitMs(watchWaitMs);
    }

    /** Watches the store from now on, or polls it only occasionally once the current call has ended. */
    public void setWatching(boolean nowWatching) {
        watching = nowWatching;
        if (watching && idle) {
            idle = false;
            nextPoll.cancel(false);
            execute(prefixWatcher.resume());
        }
    }

    /**
     * Time since the last response of the store, in milliseconds; negative while it is not watched or not reachable.
     */
    public long lastResponseAgeMs(long nowNanos) {
        boolean connected = watching && !idle && reachable && lastResponseNanos != Long.MIN_VALUE;
        return connected ? TimeUnit.NANOSECONDS.toMillis(nowNanos - lastResponseNanos) : -1;
    }

    private void scheduleIdlePoll() {
        idle = true;
        long nanos = IDLE_POLL_NANOS / 2 + random.nextLong(IDLE_POLL_NANOS);
        nextPoll = loop.schedule(() -> guarded(this::poll), nanos, TimeUnit.NANOSECONDS);
    }

    /** Reads changes that the reports of other hosts may have missed. */
    private void poll() {
        idle = false;
        executeNow(prefixWatcher.poll());
    }

    private void execute(List<Action> actions) {
        actions.forEach(this::execute);
    }

    private void execute(Action action) {
        if (action instanceof Action.Watch && !watching && reachable) {
            scheduleIdlePoll();
            return;
        }
        executeNow(action);
    }

    private void executeNow(Action action) {
        if (action instanceof Action.ReadPage read) {
            call(false, protocol.rangeTarget(prefix, read.afterKey()), RESPONSE_TIMEOUT_MS);
        } else if (action instanceof Action.Watch watch) {
            String target = protocol.watchTarget(prefix, watch.after(), watch.waitMs());
            call(true, target, watch.waitMs() + RESPONSE_TIMEOUT_MS);
        } else if (action instanceof Action.Pause pause) {
            var unused = loop.schedule(
                    () -> guarded(() -> execute(prefixWatcher.resume())), pause.nanos(), TimeUnit.NANOSECONDS);
        } else if (action instanceof Action.Snapshot snapshot) {
            listener.onSnapshot(snapshot.items(), snapshot.revision());
        } else if (action instanceof Action.Changed changed) {
            listener.onChanged(changed.items());
        }
    }

    private void call(boolean watch, String target, long responseTimeoutMs) {
        boolean reusable = connection != null
                && connection.isIdle()
                && connection.address().equals(address);
        if (!reusable) {
            if (connection != null) {
                connection.abort();
            }
            connection = HttpConnection.open(loop, address, CONNECT_TIMEOUT_MS);
        }
        ExchangeTimeout timeout =
                new ExchangeTimeout(responseTimeoutMs, RESPONSE_TIMEOUT_MS, responseTimeoutMs + TRANSFER_TIMEOUT_MS);
        BufferedExchange.get(loop, connection, target, timeout, limit, new BufferedExchange.Listener() {
            @Override
            public void onResponse(HttpResponse head, byte[] body) {
                guarded(() -> responseReceived(watch, head, body));
            }

            @Override
            public void onTooLong(String reason) {
                guarded(() -> responseTooLong(reason));
            }

            @Override
            public void onFailure(String reason) {
                failed(reason);
            }
        });
    }

    private void responseReceived(boolean watch, HttpResponse head, byte[] body) {
        int status = head.status().code();
        if (status == protocol.historyGoneStatus()) {
            log.warn(Part.SETTINGS, "storeHistoryGone").text("prefix", prefix).write();
            execute(prefixWatcher.historyGone());
            return;
        }
        if (status != OK) {
            failed("status " + status);
            return;
        }
        try {
            long answeredEpoch = epochOf(head);
            Page page = watch ? protocol.decodeWatch(body, answeredEpoch) : protocol.decodeRange(body, answeredEpoch);
            lastResponseNanos = System.nanoTime();
            markReachable();
            execute(watch ? prefixWatcher.changesRead(page) : prefixWatcher.pageRead(page));
        } catch (JsonProcessingException e) {
            failed("malformed store response: " + e.getOriginalMessage());
        } catch (FigspanException e) {
            failed(e.detail());
        }
    }

    /** Runs a step; an unexpected error ends the step, but not the watch. */
    private void guarded(Runnable step) {
        try {
            step.run();
        } catch (RuntimeException e) {
            log.warn(Part.SETTINGS, "storeWatchError")
                    .text("prefix", prefix)
                    .text("reason", e)
                    .text("stack", StackTraceSummary.of(e))
                    .write();
            failed("unexpected error");
        }
    }

    /** The epoch of a response; throws an exception if it names none although an earlier one did. */
    private long epochOf(HttpResponse head) {
        OptionalLong answered = protocol.epoch(head);
        if (answered.isEmpty() && epoch > 0) {
            throw new FigspanException(
                    ProblemKind.MALFORMED_BODY, "the response names no epoch", Location.of("response of the store"));
        }
        if (answered.orElse(0) > epoch) {
            log.info(Part.SETTINGS, "storeEpoch")
                    .text("prefix", prefix)
                    .number("epoch", answered.getAsLong())
                    .number("before", epoch)
                    .write();
            epoch = answered.getAsLong();
        }
        return answered.orElse(0);
    }

    private void markReachable() {
        if (!reachable) {
            reachable = true;
            log.info(Part.SETTINGS, "storeRegained").text("prefix", prefix).write();
        }
    }

    /** The store responds, so it is not lost; a watch of too many changes is replaced by a listing. */
    private void responseTooLong(String reason) {
        log.warn(Part.SETTINGS, "storeResponseTooLong")
                .text("prefix", prefix)
                .text("reason", reason)
                .write();
        execute(prefixWatcher.responseTooLong());
    }

    private void failed(String reason) {
        if (reachable) {
            reachable = false;
            log.warn(Part.SETTINGS, "storeLost")
                    .text("prefix", prefix)
                    .text("reason", reason)
                    .write();
            listener.onLost();
        }
        execute(prefixWatcher.failed());
    }
}

package io.figspan.gateway.store;

import com.fasterxml.jackson.core.JsonProcessingException;
import io.figspan.core.event.Part;
import io.figspan.gateway.http.HttpConnection;
import io.figspan.gateway.http.WholeAnswer;
import io.figspan.gateway.log.DecisionLog;
import io.figspan.gateway.protocol.StoreProtocol;
import io.figspan.gateway.protocol.StoreProtocol.Page;
import io.figspan.gateway.store.PrefixWatcher.Action;
import io.netty.channel.EventLoop;
import io.netty.util.concurrent.ScheduledFuture;
import java.net.InetSocketAddress;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.random.RandomGenerator;

/** Carries out the calls of a {@link PrefixWatcher} over one kept connection. */
public final class StoreWatcher {
    private static final int CONNECT_TIMEOUT_MS = 400;

    /** The store answers in milliseconds; one that needs longer than this is down, slow or cut off. */
    private static final long ANSWER_TIMEOUT_MS = 1_000;

    private static final int OK = 200;

    /** Mean time between two looks of a host that is told by others. */
    private static final long REST_NANOS = TimeUnit.SECONDS.toNanos(10);

    private final EventLoop loop;
    private final String prefix;
    private final StoreProtocol protocol;
    private final StoreListener listener;
    private final DecisionLog log;
    private final PrefixWatcher follower;
    private final RandomGenerator random;
    private InetSocketAddress address;
    private HttpConnection connection;
    private boolean reachable = true;
    private boolean following = true;
    private boolean resting;
    private ScheduledFuture<?> nextLook;
    private long answeredNanos = Long.MIN_VALUE;

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
        this.follower = new PrefixWatcher(random);
        this.random = random;
    }

    public void start() {
        carryOut(follower.resume());
    }

    /** Makes all later calls at another address. */
    public void setAddress(InetSocketAddress newAddress) {
        address = newAddress;
    }

    /** Follows the store from now on, or rests after the present call except for a look now and then. */
    public void setWatching(boolean nowFollowing) {
        following = nowFollowing;
        if (following && resting) {
            resting = false;
            nextLook.cancel(false);
            carryOut(follower.resume());
        }
    }

    /** Time since the store last answered, in milliseconds; negative while it is not followed or not reached. */
    public long lastResponseAgeMs(long nowNanos) {
        boolean inTouch = following && !resting && reachable && answeredNanos != Long.MIN_VALUE;
        return inTouch ? TimeUnit.NANOSECONDS.toMillis(nowNanos - answeredNanos) : -1;
    }

    private void rest() {
        resting = true;
        long nanos = REST_NANOS / 2 + random.nextLong(REST_NANOS);
        nextLook = loop.schedule(this::look, nanos, TimeUnit.NANOSECONDS);
    }

    /** Takes what other hosts may have missed to tell. */
    private void look() {
        resting = false;
        begin(follower.look());
    }

    private void carryOut(List<Action> actions) {
        actions.forEach(this::carryOut);
    }

    private void carryOut(Action action) {
        if (action instanceof Action.Watch && !following && reachable) {
            rest();
            return;
        }
        begin(action);
    }

    private void begin(Action action) {
        if (action instanceof Action.ReadPage read) {
            call(false, protocol.rangeTarget(prefix, read.afterKey()), ANSWER_TIMEOUT_MS);
        } else if (action instanceof Action.Watch watch) {
            String target = protocol.watchTarget(prefix, watch.afterRevision(), watch.waitMs());
            call(true, target, watch.waitMs() + ANSWER_TIMEOUT_MS);
        } else if (action instanceof Action.Pause pause) {
            var unused = loop.schedule(() -> carryOut(follower.resume()), pause.nanos(), TimeUnit.NANOSECONDS);
        } else if (action instanceof Action.Whole whole) {
            listener.onSnapshot(whole.items(), whole.revision());
        } else if (action instanceof Action.Changed changed) {
            listener.onChanged(changed.items());
        }
    }

    private void call(boolean watch, String target, long timeoutMs) {
        boolean usable = connection != null
                && connection.isIdle()
                && connection.address().equals(address);
        if (!usable) {
            if (connection != null) {
                connection.abort();
            }
            connection = HttpConnection.open(loop, address, CONNECT_TIMEOUT_MS);
        }
        WholeAnswer.get(loop, connection, target, timeoutMs, new WholeAnswer.Listener() {
            @Override
            public void onAnswer(int status, byte[] body) {
                answered(watch, status, body);
            }

            @Override
            public void onFailure(String reason) {
                failed(reason);
            }
        });
    }

    private void answered(boolean watch, int status, byte[] body) {
        if (status == protocol.historyGoneStatus()) {
            log.warn(Part.SETTINGS, "storeHistoryGone").text("prefix", prefix).write();
            carryOut(follower.historyGone());
            return;
        }
        if (status != OK) {
            failed("status " + status);
            return;
        }
        try {
            Page page = watch ? protocol.decodeWatch(body) : protocol.decodeRange(body);
            answeredNanos = System.nanoTime();
            reached();
            carryOut(watch ? follower.changesRead(page) : follower.pageRead(page));
        } catch (JsonProcessingException e) {
            failed("unreadable answer: " + e.getOriginalMessage());
        }
    }

    private void reached() {
        if (!reachable) {
            reachable = true;
            log.info(Part.SETTINGS, "storeRegained").text("prefix", prefix).write();
        }
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
        carryOut(follower.failed());
    }
}

package io.figspan.gateway.store;

import com.fasterxml.jackson.core.JsonProcessingException;
import io.figspan.core.event.Part;
import io.figspan.gateway.http.HttpConnection;
import io.figspan.gateway.http.WholeAnswer;
import io.figspan.gateway.log.DecisionLog;
import io.figspan.gateway.protocol.StoreProtocol;
import io.figspan.gateway.protocol.StoreProtocol.Page;
import io.figspan.gateway.store.PrefixFollower.Action;
import io.netty.channel.EventLoop;
import java.net.InetSocketAddress;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.random.RandomGenerator;

/** Carries out the calls of a {@link PrefixFollower} over one kept connection. */
public final class StoreFollower {
    private static final int CONNECT_TIMEOUT_MS = 400;

    /** The store answers in milliseconds; one that needs longer than this is down, slow or cut off. */
    private static final long ANSWER_TIMEOUT_MS = 1_000;

    private static final int OK = 200;

    private final EventLoop loop;
    private final String prefix;
    private final StoreProtocol protocol;
    private final StoreListener listener;
    private final DecisionLog log;
    private final PrefixFollower follower;
    private InetSocketAddress address;
    private HttpConnection connection;
    private boolean reachable = true;

    public StoreFollower(
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
        this.follower = new PrefixFollower(random);
    }

    public void start() {
        carryOut(follower.resume());
    }

    /** Makes all later calls at another address. */
    public void moveTo(InetSocketAddress newAddress) {
        address = newAddress;
    }

    private void carryOut(List<Action> actions) {
        actions.forEach(this::carryOut);
    }

    private void carryOut(Action action) {
        if (action instanceof Action.ReadPage read) {
            call(false, protocol.rangeTarget(prefix, read.afterKey()), ANSWER_TIMEOUT_MS);
        } else if (action instanceof Action.Watch watch) {
            String target = protocol.watchTarget(prefix, watch.afterRevision(), watch.waitMs());
            call(true, target, watch.waitMs() + ANSWER_TIMEOUT_MS);
        } else if (action instanceof Action.Pause pause) {
            var unused = loop.schedule(() -> carryOut(follower.resume()), pause.nanos(), TimeUnit.NANOSECONDS);
        } else if (action instanceof Action.Whole whole) {
            listener.onWhole(whole.items(), whole.revision());
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

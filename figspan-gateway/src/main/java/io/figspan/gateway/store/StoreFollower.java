package io.figspan.gateway.store;

import com.fasterxml.jackson.core.JsonProcessingException;
import io.figspan.core.event.Part;
import io.figspan.gateway.http.ConnectionFailure;
import io.figspan.gateway.http.ExchangeListener;
import io.figspan.gateway.http.HttpConnection;
import io.figspan.gateway.log.DecisionLog;
import io.figspan.gateway.protocol.StoreProtocol;
import io.figspan.gateway.protocol.StoreProtocol.Page;
import io.figspan.gateway.store.PrefixFollower.Action;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.EventLoop;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.util.concurrent.ScheduledFuture;
import java.net.InetSocketAddress;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.random.RandomGenerator;

/** Carries out the calls of a {@link PrefixFollower} over one kept connection. */
public final class StoreFollower {
    private static final int CONNECT_TIMEOUT_MS = 400;

    /** The store answers in milliseconds; one that needs longer than this is down, slow or cut off. */
    private static final long ANSWER_TIMEOUT_MS = 1_000;

    private static final int MAX_ANSWER_BYTES = 8 * 1_024 * 1_024;

    private final EventLoop loop;
    private final InetSocketAddress address;
    private final String prefix;
    private final StoreProtocol protocol;
    private final StoreListener listener;
    private final DecisionLog log;
    private final PrefixFollower follower;
    private HttpConnection connection;
    private Call call;
    private boolean reachable = true;
    private boolean stopped;

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

    public void stop() {
        stopped = true;
        if (connection != null) {
            connection.abort();
        }
    }

    private void carryOut(List<Action> actions) {
        actions.forEach(this::carryOut);
    }

    private void carryOut(Action action) {
        if (stopped) {
            return;
        }
        if (action instanceof Action.ReadPage read) {
            send(new Call(false, protocol.rangeTarget(prefix, read.afterKey()), ANSWER_TIMEOUT_MS));
        } else if (action instanceof Action.Watch watch) {
            String target = protocol.watchTarget(prefix, watch.afterRevision(), watch.waitMs());
            send(new Call(true, target, watch.waitMs() + ANSWER_TIMEOUT_MS));
        } else if (action instanceof Action.Pause pause) {
            var unused = loop.schedule(() -> carryOut(follower.resume()), pause.nanos(), TimeUnit.NANOSECONDS);
        } else if (action instanceof Action.Changed changed) {
            listener.onChanged(changed.items());
        } else if (action instanceof Action.CaughtUp caughtUp) {
            listener.onCaughtUp(caughtUp.revision());
        }
    }

    private void send(Call next) {
        call = next;
        if (connection == null || !connection.isIdle()) {
            connection = HttpConnection.open(loop, address, CONNECT_TIMEOUT_MS, () -> {});
        }
        DefaultFullHttpRequest request =
                new DefaultFullHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.GET, next.target, Unpooled.EMPTY_BUFFER);
        request.headers().set(HttpHeaderNames.HOST, address.getHostString() + ":" + address.getPort());
        next.timeout = loop.schedule(() -> timedOut(next), next.timeoutMs, TimeUnit.MILLISECONDS);
        connection.send(request, next);
    }

    private void timedOut(Call late) {
        if (call == late) {
            connection.abort();
            failed(late, "no answer within " + late.timeoutMs + " ms");
        }
    }

    private void answered(Call answered, int status, byte[] body) {
        if (status == protocol.historyGoneStatus()) {
            log.warn(Part.SETTINGS, "storeHistoryGone").text("prefix", prefix).write();
            finish(answered);
            carryOut(follower.historyGone());
            return;
        }
        if (status != 200) {
            failed(answered, "status " + status);
            return;
        }
        try {
            Page page = answered.watch ? protocol.decodeWatch(body) : protocol.decodeRange(body);
            finish(answered);
            reached();
            carryOut(answered.watch ? follower.changesRead(page) : follower.pageRead(page));
        } catch (JsonProcessingException e) {
            failed(answered, "unreadable answer: " + e.getOriginalMessage());
        }
    }

    private void finish(Call finished) {
        finished.timeout.cancel(false);
        call = null;
    }

    private void reached() {
        if (!reachable) {
            reachable = true;
            log.info(Part.SETTINGS, "storeRegained").text("prefix", prefix).write();
            listener.onReachable(true);
        }
    }

    private void failed(Call failed, String reason) {
        if (call != failed) {
            return;
        }
        finish(failed);
        if (reachable) {
            reachable = false;
            log.warn(Part.SETTINGS, "storeLost")
                    .text("prefix", prefix)
                    .text("reason", reason)
                    .write();
            listener.onReachable(false);
        }
        carryOut(follower.failed());
    }

    /** One call and its answer. */
    private final class Call implements ExchangeListener {
        private final boolean watch;
        private final String target;
        private final long timeoutMs;
        private final ByteBuf body = Unpooled.buffer();
        private ScheduledFuture<?> timeout;
        private int status;

        Call(boolean watch, String target, long timeoutMs) {
            this.watch = watch;
            this.target = target;
            this.timeoutMs = timeoutMs;
        }

        @Override
        public void onHead(HttpResponse head) {
            status = head.status().code();
        }

        @Override
        public void onContent(ByteBuf content) {
            if (body.readableBytes() + content.readableBytes() > MAX_ANSWER_BYTES) {
                connection.abort();
                failed(this, "answer is longer than " + MAX_ANSWER_BYTES + " bytes");
                return;
            }
            body.writeBytes(content);
        }

        @Override
        public void onComplete() {
            byte[] bytes = new byte[body.readableBytes()];
            body.readBytes(bytes);
            answered(this, status, bytes);
        }

        @Override
        public void onFailure(ConnectionFailure failure) {
            failed(this, failure.toString());
        }
    }
}

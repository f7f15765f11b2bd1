package io.figspan.gateway;

import io.figspan.core.error.Result;
import io.figspan.core.event.Part;
import io.figspan.core.id.BackendServerId;
import io.figspan.gateway.backend.BackendPools;
import io.figspan.gateway.backend.BackendServer;
import io.figspan.gateway.caller.CallerServer;
import io.figspan.gateway.forward.Forwarder;
import io.figspan.gateway.http.SmallServer;
import io.figspan.gateway.log.DecisionLog;
import io.figspan.gateway.protocol.Adapter;
import io.figspan.gateway.protocol.StoreProtocol.Item;
import io.figspan.gateway.store.StoreFollower;
import io.figspan.gateway.store.StoreListener;
import io.figspan.settings.gateway.GatewaySettings;
import io.netty.buffer.Unpooled;
import io.netty.channel.EventLoop;
import io.netty.channel.nio.NioEventLoopGroup;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.util.concurrent.DefaultThreadFactory;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.random.RandomGenerator;

/** The gateway of one host. It runs on one event loop. */
public final class GatewayProcess {
    /** Time between two looks at waiting jobs and time limits. */
    private static final long TICK_MS = 20;

    /** How long a caller keeps the answer of the directory. */
    private static final int KEEP_SECONDS = 1;

    private final GatewayConfig config;
    private final Adapter adapter;
    private final EventLoop loop = new NioEventLoopGroup(1, new DefaultThreadFactory("gateway")).next();
    private final DecisionLog log = new DecisionLog();
    private final BackendPools pools = new BackendPools(loop);
    private final Forwarder forwarder;
    private final CallerServer callers;
    private boolean serversKnown;
    private boolean draining;

    public GatewayProcess(GatewayConfig config, Adapter adapter, RandomGenerator random) {
        this.config = config;
        this.adapter = adapter;
        this.forwarder = new Forwarder(
                loop,
                adapter.callers(),
                adapter.backends(),
                pools,
                log,
                random,
                new Forwarder.RetryAllowance(config.retryFraction(), config.retryAllowance(), config.retryWindowMs()));
        this.callers = new CallerServer(loop, forwarder, adapter.callers());
        follow(adapter.fleet().settingsPrefix(), new SettingsListener(), random);
        follow(adapter.fleet().serversPrefix(), new ServersListener(), random);
    }

    private void follow(String prefix, StoreListener listener, RandomGenerator random) {
        StoreFollower follower =
                new StoreFollower(loop, config.store(), prefix, adapter.store(), listener, log, random);
        loop.execute(follower::start);
    }

    /** Opens the ports. */
    public void start() {
        log.info(Part.ENTRY, "started").text("host", config.host()).write();
        callers.listen(config.callers()).syncUninterruptibly();
        SmallServer.listen(loop, config.readiness(), this::answerReadiness).syncUninterruptibly();
        SmallServer.listen(loop, config.directory(), this::answerDirectory).syncUninterruptibly();
        var unused = loop.scheduleWithFixedDelay(this::tick, TICK_MS, TICK_MS, TimeUnit.MILLISECONDS);
    }

    private void tick() {
        long nowNanos = System.nanoTime();
        forwarder.tick(nowNanos);
        callers.tick(nowNanos);
    }

    private boolean isReady() {
        return forwarder.hasSettings() && serversKnown && !draining;
    }

    private FullHttpResponse answerReadiness(HttpRequest request) {
        if (!adapter.operator().asksForReadiness(request)) {
            return empty(HttpResponseStatus.NOT_FOUND);
        }
        return empty(isReady() ? HttpResponseStatus.OK : HttpResponseStatus.SERVICE_UNAVAILABLE);
    }

    private FullHttpResponse answerDirectory(HttpRequest request) {
        if (!adapter.operator().asksForHosts(request)) {
            return empty(HttpResponseStatus.NOT_FOUND);
        }
        if (!isReady()) {
            return empty(HttpResponseStatus.SERVICE_UNAVAILABLE);
        }
        return adapter.operator().hosts(List.of(config.callers()), KEEP_SECONDS);
    }

    private static FullHttpResponse empty(HttpResponseStatus status) {
        return new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, status, Unpooled.EMPTY_BUFFER);
    }

    /** Puts settings into force as they are read. */
    private final class SettingsListener implements StoreListener {
        @Override
        public void onChanged(List<Item> items) {
            for (Item item : items) {
                if (adapter.fleet().isSettings(item.key()) && item.value().isPresent()) {
                    read(item.value().get());
                }
            }
        }

        private void read(byte[] value) {
            Result<GatewaySettings> read = adapter.fleet().decodeSettings(value);
            if (read instanceof Result.Ok<GatewaySettings> ok) {
                forwarder.apply(ok.value());
                callers.limitsChanged(ok.value().callerLimits());
            } else if (read instanceof Result.Failed<GatewaySettings> failed) {
                log.warn(Part.SETTINGS, "settingsUnreadable")
                        .text("reason", failed.problem().detail())
                        .write();
            }
        }

        @Override
        public void onCaughtUp(long revision) {}

        @Override
        public void onReachable(boolean reachable) {}
    }

    /** Keeps the backend servers as they are registered. */
    private final class ServersListener implements StoreListener {
        @Override
        public void onChanged(List<Item> items) {
            for (Item item : items) {
                if (item.value().isPresent()) {
                    put(item.key(), item.value().get());
                } else {
                    remove(item.key());
                }
            }
            forwarder.serversChanged();
        }

        private void put(String key, byte[] value) {
            Result<BackendServer> read = adapter.fleet().decodeServer(key, value);
            if (read instanceof Result.Ok<BackendServer> ok) {
                pools.put(ok.value());
                log.info(Part.MEMBER, "serverRegistered")
                        .text("server", ok.value().id())
                        .text("leaving", ok.value().isLeaving())
                        .write();
            } else if (read instanceof Result.Failed<BackendServer> failed) {
                log.warn(Part.MEMBER, "serverUnreadable")
                        .text("key", key)
                        .text("reason", failed.problem().detail())
                        .write();
                remove(key);
            }
        }

        private void remove(String key) {
            BackendServerId id = BackendServerId.of(adapter.fleet().serverName(key));
            pools.remove(id);
            log.info(Part.MEMBER, "serverRemoved").text("server", id).write();
        }

        @Override
        public void onCaughtUp(long revision) {
            serversKnown = true;
        }

        @Override
        public void onReachable(boolean reachable) {}
    }
}

package io.figspan.gateway.caller;

import io.figspan.core.error.Problem;
import io.figspan.gateway.forward.CallerExchange;
import io.figspan.gateway.forward.Forwarder;
import io.figspan.gateway.forward.InFlightCall;
import io.figspan.gateway.forward.ReceivedRequest;
import io.figspan.gateway.http.ByteBudget;
import io.figspan.gateway.http.Channels;
import io.figspan.gateway.http.ClientMemory;
import io.figspan.gateway.http.DescriptorLimit;
import io.figspan.gateway.http.MeteredHeadersFactory;
import io.figspan.gateway.http.PausableServerCodec;
import io.figspan.gateway.log.UnexpectedErrors;
import io.figspan.gateway.protocol.CallerProtocol;
import io.figspan.gateway.protocol.CallerRequest;
import io.figspan.settings.gateway.CallerLimits;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpHeadersFactory;
import io.netty.handler.codec.http.HttpRequest;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.StandardSocketOptions;
import java.nio.channels.ServerSocketChannel;
import java.nio.channels.SocketChannel;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashSet;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;

/** HTTP server for the connections of callers. All methods run on the event loop. */
public final class CallerServer {
    /** Connections that may wait to be accepted while the process is busy. */
    private static final int BACKLOG = 1_024;

    /** Memory limit for the bodies of all requests in progress; a fraction of the heap of the smallest host. */
    static final long MAX_BODIES_BYTES = 16L * 1_024 * 1_024;

    /**
     * Connections that the event loop surely reads in one pass: half of the ready channels that the selector of the JDK
     * reports at once, since connections to servers are among them.
     */
    private static final int CONNECTIONS_PER_PASS = 512;

    /** A request in progress has a connection to a server beside the one of its caller. */
    private static final int DESCRIPTORS_PER_CONNECTION = 2;

    private final EventLoop loop;
    private final Forwarder forwarder;
    private final CallerProtocol protocol;
    private final UnexpectedErrors errors;
    private final ByteBudget bodies = new ByteBudget(MAX_BODIES_BYTES);
    private final ClientMemory memory = ClientMemory.ofHeap();
    private final int maxConnections = DescriptorLimit.ofCallers() / DESCRIPTORS_PER_CONNECTION;
    private final Set<CallerConnection> connections = new HashSet<>();
    private CallerLimits limits = CallerLimits.DEFAULT;
    private boolean draining;
    private ServerSocketChannel port;
    private Channel listener;

    public CallerServer(EventLoop loop, Forwarder forwarder, CallerProtocol protocol, UnexpectedErrors errors) {
        this.loop = loop;
        this.forwarder = forwarder;
        this.protocol = protocol;
        this.errors = errors;
        forwarder.onSettingsApplied(settings -> setLimits(settings.callerLimits()));
    }

    /** Binds the port without accepting connections; they wait in the backlog until {@link #serve} is called. */
    public static ServerSocketChannel open(InetSocketAddress address) throws IOException {
        ServerSocketChannel port = ServerSocketChannel.open();
        port.setOption(StandardSocketOptions.SO_REUSEADDR, true);
        port.bind(address, BACKLOG);
        return port;
    }

    /** Accepts connections from a bound port. */
    public ChannelFuture serve(ServerSocketChannel boundPort) {
        port = boundPort;
        ChannelFuture registered = new ServerBootstrap()
                .group(loop)
                .channelFactory(() -> new NioServerSocketChannel(boundPort))
                .childOption(ChannelOption.TCP_NODELAY, true)
                .childOption(ChannelOption.RCVBUF_ALLOCATOR, Channels.boundedReads())
                .childOption(ChannelOption.WRITE_BUFFER_WATER_MARK, Channels.boundedWrites())
                .childHandler(new ChannelInitializer<>() {
                    @Override
                    protected void initChannel(Channel ch) {
                        initialize(ch);
                    }
                })
                .register();
        listener = registered.channel();
        return registered;
    }

    private void initialize(Channel channel) {
        if (connections.size() >= maxConnections && !closeLongestIdle()) {
            Channels.close(channel);
            return;
        }
        CallerConnection connection = new CallerConnection(this, channel, limits);
        HttpHeadersFactory lines = new MeteredHeadersFactory(connection.memory(), limits.maxHeaderLines());
        PausableServerCodec codec = new PausableServerCodec(new HttpDecoderConfig()
                .setMaxInitialLineLength(limits.maxHeaderBytes())
                .setMaxHeaderSize(limits.maxHeaderBytes())
                .setHeadersFactory(lines)
                .setTrailersFactory(lines));
        connection.setCodec(codec);
        channel.pipeline().addLast(new ChannelInboundHandlerAdapter() {
            @Override
            public void channelRead(ChannelHandlerContext ctx, Object bytes) {
                connection.bytesReceived();
                ctx.fireChannelRead(bytes);
                connection.bytesDecoded();
            }
        });
        channel.pipeline().addLast(codec, connection);
    }

    /** Closes the connection that has been without a request for longest, to make room for another one. */
    private boolean closeLongestIdle() {
        Optional<CallerConnection> longestIdle = connections.stream()
                .filter(connection -> !connection.isBusy() && !connection.hasUnsentBytes())
                .min(Comparator.comparingLong(CallerConnection::lastActivityNanos));
        longestIdle.ifPresent(CallerConnection::closeForAnother);
        return longestIdle.isPresent();
    }

    /** Sets the limits of all connections. A connection with another limit for heads is closed after its response. */
    void setLimits(CallerLimits newLimits) {
        limits = newLimits;
        connections.forEach(connection -> connection.limitsChanged(newLimits));
    }

    CallerLimits limits() {
        return limits;
    }

    /** Closes each connection after the response to its last request from now on. */
    public void disableKeepAlive() {
        draining = true;
    }

    /** Stops accepting connections. Those that exist are served, also those that were waiting to be accepted. */
    public void stopAccepting() {
        acceptBacklog();
        Channels.close(listener);
    }

    /** Closing the port would reset the connections that wait behind it, although their requests may have been sent. */
    private void acceptBacklog() {
        try {
            for (int accepted = 0; accepted < BACKLOG; accepted++) {
                SocketChannel waiting = port.accept();
                if (waiting == null) {
                    return;
                }
                listener.pipeline().fireChannelRead(new NioSocketChannel(listener, waiting));
            }
        } catch (IOException e) {
            errors.report(e);
        }
    }

    /** Closes the connections without a request in progress. */
    public void closeIdle() {
        new ArrayList<>(connections).forEach(CallerConnection::closeIfIdle);
    }

    /** Refuses the requests that are still arriving and that can't end before this host stops. */
    public void refuseIncompleteOutOfTime(long nowNanos) {
        new ArrayList<>(connections).forEach(connection -> connection.refuseIfOutOfTime(nowNanos));
    }

    /** Refuses all requests that are still arriving, even those of which only a part of the head is known. */
    public void refuseIncomplete() {
        new ArrayList<>(connections).forEach(CallerConnection::refuseIncomplete);
    }

    /** Number of connections that are not closed yet. */
    public long openConnections() {
        return connections.size();
    }

    /** Number of connections that have lost what they held, because all connections held too much. */
    public long evictions() {
        return memory.evictions();
    }

    /** What the bodies of requests declare to hold, in bytes. */
    public long countedBodyBytes() {
        return bodies.countedBytes();
    }

    /** What the buffers of these bodies take, in bytes; differs from what they declare only after an error. */
    public long liveBodyBytes() {
        return bodies.liveBytes();
    }

    /** What the heads count whose answers are awaited, in bytes. */
    public long countedHeadBytes() {
        return memory.usedBytes(ClientMemory.Kind.HEADS_BEFORE_ANSWERS);
    }

    /** Number of connections with a request in progress. */
    public long busy() {
        return connections.stream().filter(CallerConnection::isBusy).count();
    }

    /** Number of connections with a request of which a part has arrived or a response that is not written yet. */
    public long unfinished() {
        return connections.stream().filter(CallerConnection::isUnfinished).count();
    }

    /** Whether a caller doesn't read as fast as its response is written. */
    public boolean hasUnsentBytes() {
        return connections.stream().anyMatch(CallerConnection::hasUnsentBytes);
    }

    /** Enforces the time limits of all connections. */
    public void tick(long nowNanos) {
        new ArrayList<>(connections).forEach(connection -> connection.enforceTimeouts(nowNanos));
    }

    /**
     * Runs an action once the event loop has read what the connections have received by now. Scheduled tasks run after
     * the channels that are ready have been read.
     */
    void afterNextRead(Runnable action) {
        afterPasses(1 + connections.size() / CONNECTIONS_PER_PASS, action);
    }

    private void afterPasses(int passes, Runnable action) {
        if (passes == 0) {
            action.run();
            return;
        }
        var unused = loop.schedule(() -> afterPasses(passes - 1, action), 1, TimeUnit.NANOSECONDS);
    }

    /** The memory budget for request bodies. */
    ByteBudget bodies() {
        return bodies;
    }

    boolean isDraining() {
        return draining;
    }

    /** The memory budgets of all connections. */
    ClientMemory memory() {
        return memory;
    }

    CallerRequest decode(HttpRequest head) {
        return protocol.decode(head);
    }

    Optional<InFlightCall> accept(ReceivedRequest request, CallerExchange exchange) {
        return forwarder.accept(request, exchange);
    }

    /** The refusal of a request that is still arriving and that can't end before this host stops. */
    Optional<Problem> refusalOfIncomplete(CallerRequest request, long nowNanos) {
        return draining ? forwarder.refusalOfIncomplete(request, nowNanos) : Optional.empty();
    }

    /** How long the oldest request that waits for the settings holds its memory at the most; 0 if none waits. */
    long startupWaitMs(long nowNanos) {
        return forwarder.startupWaitMs(nowNanos);
    }

    Problem shutdownRefusal() {
        return forwarder.drain().refusal();
    }

    /** Makes a refusal by the limits temporary while newer settings are known to exist. */
    Problem unlessOutdated(Problem problem) {
        return forwarder.unlessOutdated(problem);
    }

    UnexpectedErrors errors() {
        return errors;
    }

    void opened(CallerConnection connection) {
        connections.add(connection);
    }

    void closed(CallerConnection connection) {
        connections.remove(connection);
    }
}

package io.figspan.gateway.http;

import static org.junit.jupiter.api.Assertions.assertEquals;

import io.figspan.gateway.ScriptedServer;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.EventLoop;
import io.netty.channel.nio.NioEventLoopGroup;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpVersion;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

/** Guards against requests that are written although their reason ended while the connection was being established. */
class HttpConnectionTest {
    private static final long LIMIT_S = 20;
    private static final int CONNECT_TIMEOUT_MS = 10_000;

    private final NioEventLoopGroup group = new NioEventLoopGroup(1);
    private final EventLoop loop = group.next();

    @AfterEach
    void stop() {
        group.shutdownGracefully(0, 1, TimeUnit.SECONDS).syncUninterruptibly();
    }

    /** Reports the end of an exchange that may or may not be written. */
    private record Listener(boolean mayWrite, CompletableFuture<String> end) implements ExchangeListener {
        @Override
        public void onHead(HttpResponse head) {}

        @Override
        public void onContent(ByteBuf content) {}

        @Override
        public void onComplete() {
            end.complete("complete");
        }

        @Override
        public void onFailure(ConnectionFailure failure) {
            end.complete(failure.toString());
        }
    }

    private String sendOnNewConnection(ScriptedServer server, boolean mayWrite) throws Exception {
        Listener listener = new Listener(mayWrite, new CompletableFuture<>());
        loop.execute(() -> {
            HttpConnection connection = HttpConnection.open(loop, server.address(), CONNECT_TIMEOUT_MS);
            connection.send(
                    new DefaultFullHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.GET, "/", Unpooled.EMPTY_BUFFER),
                    listener);
        });
        return listener.end().get(LIMIT_S, TimeUnit.SECONDS);
    }

    @Test
    void aRequestThatMustNoLongerBeWrittenWhenTheConnectionIsEstablishedIsWithdrawn() throws Exception {
        try (ScriptedServer server =
                new ScriptedServer((request, connection) -> connection.answer(request, 200, "", ""))) {
            assertEquals("WITHDRAWN", sendOnNewConnection(server, false));
            assertEquals("complete", sendOnNewConnection(server, true));
            assertEquals(1, server.received().size());
            assertEquals(
                    List.of(2),
                    server.received().stream()
                            .map(ScriptedServer.Received::connection)
                            .toList());
        }
    }
}

package io.figspan.gateway.backend;

import static org.junit.jupiter.api.Assertions.assertFalse;

import io.figspan.core.id.AvailabilityZoneId;
import io.figspan.core.id.BackendServerId;
import io.figspan.core.id.HostId;
import io.figspan.core.id.HostIncarnation;
import io.figspan.core.id.ServiceId;
import io.figspan.core.time.Deadline;
import io.figspan.core.time.MonotonicClock;
import io.figspan.gateway.ScriptedServer;
import io.figspan.gateway.TestProtocol;
import io.figspan.gateway.backend.MemoryHolds.HoldRequest;
import io.figspan.gateway.http.BufferedExchange;
import io.figspan.gateway.http.ExchangeTimeout;
import io.figspan.gateway.http.HttpConnection;
import io.figspan.gateway.http.ResponseLimit;
import io.figspan.gateway.log.DecisionLog;
import io.netty.channel.EventLoop;
import io.netty.channel.nio.NioEventLoopGroup;
import io.netty.handler.codec.http.HttpResponse;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

/** Guards against memory that counts as reserved because of the late response to another request. */
class ReservationExtraResponseTest {
    private static final long TIMEOUT_S = 20;
    private static final long TIMEOUT_MS = TimeUnit.SECONDS.toMillis(TIMEOUT_S);
    private static final BackendServerId HOLDER = BackendServerId.of("holder");
    private static final String EXTRA =
            "HTTP/1.1 200 x\r\nattempt: a-1\r\nsignature: s\r\ncontent-length: 5\r\n\r\nextra";
    private static final String REFUSED = "HTTP/1.1 409 x\r\ncontent-length: 0\r\n\r\n";

    private final NioEventLoopGroup group = new NioEventLoopGroup(1);
    private final EventLoop loop = group.next();
    private final BackendPools pools = new BackendPools(loop, new DecisionLog());
    private final MemoryHolds holds = new MemoryHolds(
            new HttpEngineClient(loop, pools, new TestProtocol()),
            new DecisionLog(),
            new HostIncarnation(HostId.of("host"), 1),
            MonotonicClock.system());

    @AfterEach
    void stop() {
        group.shutdownGracefully(0, 1, TimeUnit.SECONDS).syncUninterruptibly();
    }

    @Test
    void aRefusedReservationIsNotGrantedByAnExtraResponseToAnEarlierRequest() throws Exception {
        try (ScriptedServer holder = new ScriptedServer((request, c) -> {
            if (request.target().startsWith("/reserve")) {
                c.write(EXTRA + REFUSED);
            } else {
                c.answer(request, 200, "", "one");
            }
        })) {
            register(holder);
            sendRequestOnPooledConnection();
            assertFalse(reserve().isComplete(), "the engine refused the reservation");
        }
    }

    private void register(ScriptedServer holder) {
        BackendServer server = new BackendServer(
                HOLDER, ServiceId.of("engines"), holder.address(), AvailabilityZoneId.of("zone"), 4, false, 0, 1);
        loop.submit(() -> pools.put(server)).syncUninterruptibly();
    }

    private void sendRequestOnPooledConnection() throws Exception {
        CompletableFuture<Integer> response = new CompletableFuture<>();
        loop.execute(() -> {
            HttpConnection connection = pools.acquire(HOLDER, false, System.nanoTime());
            BufferedExchange.get(
                    loop,
                    connection,
                    "/read/1",
                    ExchangeTimeout.ofTotal(TIMEOUT_MS),
                    ResponseLimit.of(1_024, 1_024),
                    new BufferedExchange.Listener() {
                        @Override
                        public void onResponse(HttpResponse head, byte[] body) {
                            pools.release(HOLDER, connection);
                            response.complete(head.status().code());
                        }

                        @Override
                        public void onFailure(String reason) {
                            response.completeExceptionally(new AssertionError(reason));
                        }
                    });
        });
        response.get(TIMEOUT_S, TimeUnit.SECONDS);
    }

    private HoldGroup reserve() throws Exception {
        CompletableFuture<HoldGroup> reserved = new CompletableFuture<>();
        loop.execute(() -> holds.reserve(
                List.of(new HoldRequest(HOLDER, 1_000)),
                Deadline.after(System.nanoTime(), TIMEOUT_MS),
                reserved::complete));
        return reserved.get(TIMEOUT_S, TimeUnit.SECONDS);
    }
}

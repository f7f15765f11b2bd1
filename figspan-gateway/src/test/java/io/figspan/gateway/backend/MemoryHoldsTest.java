package io.figspan.gateway.backend;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.figspan.core.id.AvailabilityZoneId;
import io.figspan.core.id.BackendServerId;
import io.figspan.core.id.HostId;
import io.figspan.core.id.HostIncarnation;
import io.figspan.core.id.ServiceId;
import io.figspan.core.time.Deadline;
import io.figspan.gateway.ScriptedServer;
import io.figspan.gateway.ScriptedServer.Received;
import io.figspan.gateway.TestProtocol;
import io.figspan.gateway.backend.MemoryHolds.HoldRequest;
import io.figspan.gateway.log.DecisionLog;
import io.netty.channel.EventLoop;
import io.netty.channel.nio.NioEventLoopGroup;
import java.io.IOException;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/**
 * Guards against memory that stays held for an engine that can no longer use it, because it is dead or because another
 * engine has dropped a hold of the same group.
 */
class MemoryHoldsTest {
    private static final long TIMEOUT_S = 20;
    private static final long TICK_MS = 20;
    private static final BackendServerId HOLDER = BackendServerId.of("holder");
    private static final BackendServerId USER = BackendServerId.of("user");

    private final NioEventLoopGroup group = new NioEventLoopGroup(1);
    private final EventLoop loop = group.next();
    private final BackendPools pools = new BackendPools(loop);
    private final MemoryHolds holds = new MemoryHolds(
            loop, pools, new TestProtocol(), new DecisionLog(), new HostIncarnation(HostId.of("host"), 1));

    @BeforeEach
    void tick() {
        var unused = loop.scheduleWithFixedDelay(
                () -> holds.tick(System.nanoTime()), TICK_MS, TICK_MS, TimeUnit.MILLISECONDS);
    }

    @AfterEach
    void stop() {
        group.shutdownGracefully(0, 1, TimeUnit.SECONDS).syncUninterruptibly();
    }

    private static BackendServer server(BackendServerId id, ScriptedServer server) {
        return new BackendServer(
                id, ServiceId.of("engines"), server.address(), AvailabilityZoneId.of("zone"), 4, false, 0);
    }

    private HoldGroup reserve(ScriptedServer holder) throws Exception {
        CompletableFuture<HoldGroup> reserved = new CompletableFuture<>();
        loop.execute(() -> {
            pools.put(server(HOLDER, holder));
            holds.reserve(
                    List.of(new HoldRequest(HOLDER, 1_000)),
                    Deadline.after(System.nanoTime(), 15_000),
                    reserved::complete);
        });
        return reserved.get(TIMEOUT_S, TimeUnit.SECONDS);
    }

    private CountDownLatch use(HoldGroup held, ScriptedServer user) {
        CountDownLatch lost = new CountDownLatch(1);
        loop.submit(() -> holds.monitorUse(held, server(USER, user), lost::countDown))
                .syncUninterruptibly();
        return lost;
    }

    private static boolean isRelease(Received request) {
        return request.target().startsWith("/release");
    }

    private static void answer(Received request, ScriptedServer.Connection connection) throws IOException {
        connection.answer(request, 200, "", "");
    }

    @Test
    void anUnresponsiveEngineIsDetectedBeforeTheDeadline() throws Exception {
        try (ScriptedServer holder = new ScriptedServer(MemoryHoldsTest::answer);
                ScriptedServer user = new ScriptedServer((request, connection) -> connection.awaitClose())) {
            HoldGroup held = reserve(holder);
            assertTrue(held.isComplete(), held.failure());

            CountDownLatch lost = use(held, user);

            assertTrue(lost.await(TIMEOUT_S, TimeUnit.SECONDS), "the unresponsive engine was not detected");
            loop.submit(() -> holds.release(held)).syncUninterruptibly();
        }
    }

    @Test
    void theUseIsLostWhenOneEngineRefusesToRenewItsHold() throws Exception {
        ScriptedServer.Script refusesToRenew = new ScriptedServer.Script() {
            private int reservations;

            @Override
            public synchronized void answer(Received request, ScriptedServer.Connection connection) throws IOException {
                boolean isFirst = isRelease(request) || reservations++ == 0;
                connection.answer(request, isFirst ? 200 : 409, "", "");
            }
        };
        try (ScriptedServer holder = new ScriptedServer(refusesToRenew);
                ScriptedServer user = new ScriptedServer(MemoryHoldsTest::answer)) {
            HoldGroup held = reserve(holder);

            CountDownLatch lost = use(held, user);

            assertTrue(lost.await(TIMEOUT_S, TimeUnit.SECONDS), "the lost hold was not detected");
        }
    }

    @Test
    void theHoldsOfALiveEngineAreKept() throws Exception {
        CountDownLatch checks = new CountDownLatch(3);
        try (ScriptedServer holder = new ScriptedServer(MemoryHoldsTest::answer);
                ScriptedServer user = new ScriptedServer((request, connection) -> {
                    answer(request, connection);
                    checks.countDown();
                })) {
            HoldGroup held = reserve(holder);

            CountDownLatch lost = use(held, user);

            assertTrue(checks.await(TIMEOUT_S, TimeUnit.SECONDS), "the engine was not checked");
            assertTrue(lost.getCount() == 1);
            assertFalse(holder.received().stream().anyMatch(MemoryHoldsTest::isRelease));
        }
    }
}

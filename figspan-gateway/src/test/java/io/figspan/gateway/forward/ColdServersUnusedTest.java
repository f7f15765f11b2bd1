package io.figspan.gateway.forward;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.figspan.core.id.AvailabilityZoneId;
import io.figspan.core.id.BackendServerId;
import io.figspan.core.id.HostId;
import io.figspan.core.id.ServiceId;
import io.figspan.core.time.Deadline;
import io.figspan.gateway.backend.BackendPools;
import io.figspan.gateway.backend.BackendServer;
import io.figspan.gateway.log.DecisionLog;
import io.figspan.gateway.metrics.GatewayMetrics;
import io.figspan.policy.placing.EnginePlacer;
import io.figspan.policy.placing.Job;
import io.figspan.policy.placing.LeastBusyPlacer;
import io.figspan.policy.placing.Placement;
import io.figspan.policy.placing.Placer;
import io.figspan.policy.placing.Placer.AttemptOutcome;
import io.figspan.policy.placing.Placer.AvailableServer;
import io.figspan.policy.placing.PromptLengths;
import io.figspan.policy.placing.RequestGate;
import io.figspan.settings.gateway.EngineProfile;
import io.figspan.settings.gateway.ServiceProfile;
import io.netty.channel.DefaultEventLoop;
import io.netty.channel.EventLoop;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;
import java.util.random.RandomGenerator;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Guards against decisions that change where no service limits the requests to its cold servers. */
class ColdServersUnusedTest {
    private static final HostId SELF = HostId.of("host");
    private static final ServiceId SERVICE = ServiceId.of("service");
    private static final EngineProfile ENGINE = new EngineProfile(4, 100_000, 50, 1, 0, 0, 177, 0.1, 2_048, 200, 0);
    private static final int SERVERS = 6;
    private static final int STEPS = 1_500;
    private static final long STEP_NANOS = TimeUnit.MILLISECONDS.toNanos(2);

    private final EventLoop loop = new DefaultEventLoop();

    @AfterEach
    void stop() {
        var unused = loop.shutdownGracefully(0, 0, TimeUnit.MILLISECONDS);
    }

    private RequestGate gate(long coldMs, double coldRequestsPerSecond, RandomGenerator random) {
        DecisionLog log = new DecisionLog();
        BackendPools pools = new BackendPools(loop, log);
        RequestLimits limits = new RequestLimits(SELF, pools, log, new GatewayMetrics(), random);
        ServiceProfile profile = new ServiceProfile(SERVICE, "", 0, coldMs, coldRequestsPerSecond, Optional.empty());
        limits.coldServers().apply(Map.of(SERVICE, profile));
        limits.coldServers().hostsChanged(Set.of(SELF), true);
        for (AvailableServer server : servers()) {
            pools.put(new BackendServer(
                    server.id(),
                    SERVICE,
                    new InetSocketAddress(InetAddress.getLoopbackAddress(), 1),
                    AvailabilityZoneId.of("zone"),
                    server.slots(),
                    false,
                    coldMs,
                    1));
        }
        limits.coldServers().serversChanged();
        return limits;
    }

    private static List<AvailableServer> servers() {
        List<AvailableServer> servers = new ArrayList<>();
        for (int server = 0; server < SERVERS; server++) {
            servers.add(new AvailableServer(BackendServerId.of("server-" + server), 4));
        }
        return servers;
    }

    /** The decisions about a seeded load; the placer and the gate share one generator, as in the process. */
    private List<String> decisions(boolean areEngines, RequestGate gate, RandomGenerator random) {
        Placer placer = areEngines
                ? new EnginePlacer(ENGINE, random, gate, Optional.empty())
                : new LeastBusyPlacer(random, gate);
        SplittableRandom load = new SplittableRandom(7);
        List<String> decisions = new ArrayList<>();
        List<Job> running = new ArrayList<>();
        long nowNanos = System.nanoTime();
        placer.serversChanged(servers(), nowNanos);
        for (int step = 0; step < STEPS; step++) {
            nowNanos += STEP_NANOS;
            List<Placement> placements = new ArrayList<>(placer.tick(nowNanos));
            if (load.nextInt(4) == 0) {
                placements.addAll(placer.arrived(job(step, load.nextInt(200, 9_000), nowNanos), nowNanos));
            }
            if (!running.isEmpty() && load.nextInt(4) == 0) {
                Job ended = running.remove(load.nextInt(running.size()));
                placements.addAll(placer.ended(ended, AttemptOutcome.SERVED, nowNanos));
            }
            for (Placement placement : placements) {
                decisions.add(placement.job().requestId() + describe(placement, running));
            }
        }
        return decisions;
    }

    private static Job job(int number, int tokens, long nowNanos) {
        Deadline deadline = Deadline.after(nowNanos, 4_000);
        long targetNanos = TimeUnit.MILLISECONDS.toNanos(500);
        Optional<PromptLengths> prompt = Optional.of(new PromptLengths(tokens, 100, OptionalInt.empty()));
        return new Job("r-" + number, nowNanos, deadline, targetNanos, 0, 0, prompt);
    }

    private static String describe(Placement placement, List<Job> running) {
        if (placement instanceof Placement.Send send) {
            running.add(send.job());
            return " at " + send.server();
        }
        return " refused";
    }

    @ParameterizedTest
    @ValueSource(booleans = {false, true})
    void decisionsAreTheSameWithoutARate(boolean areEngines) {
        List<String> before = decisions(areEngines, RequestGate.OPEN, new SplittableRandom(1));
        RandomGenerator random = new SplittableRandom(1);
        List<String> unlimited = decisions(areEngines, gate(60_000, 0, random), random);
        RandomGenerator otherRandom = new SplittableRandom(1);
        List<String> limited = decisions(areEngines, gate(60_000, 26, otherRandom), otherRandom);

        assertTrue(before.size() > STEPS / 8, before.size() + " decisions");
        assertEquals(before, unlimited);
        assertNotEquals(before, limited);
    }
}

package io.figspan.gateway.forward;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.figspan.core.id.AvailabilityZoneId;
import io.figspan.core.id.BackendServerId;
import io.figspan.core.id.HostId;
import io.figspan.core.id.ServiceId;
import io.figspan.core.id.SettingsVersion;
import io.figspan.core.id.StoreRevision;
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
import io.figspan.settings.gateway.CallerAccess;
import io.figspan.settings.gateway.CallerLimits;
import io.figspan.settings.gateway.EngineProfile;
import io.figspan.settings.gateway.GatewaySettings;
import io.figspan.settings.gateway.ServiceProfile;
import io.netty.channel.DefaultEventLoop;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;
import java.util.random.RandomGenerator;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

/** Decisions under a seeded load in logical time, without a network, while zones are evacuated and restored. */
class EvacuationDecisionsTest {
    private static final ServiceId ENGINES = ServiceId.of("engines");
    private static final EngineProfile ENGINE = new EngineProfile(4, 100_000, 50, 1, 0, 0, 177, 0.1, 2_048, 200, 0);
    private static final int SEEDS = 6;
    private static final int STEPS = 1_500;
    private static final long STEP_NANOS = TimeUnit.MILLISECONDS.toNanos(10);
    private static final int STEPS_PER_CHANGE = 60;
    private static final List<String> ZONES = List.of("a", "b", "c");

    private final DefaultEventLoop loop = new DefaultEventLoop();
    private final BackendPools pools = new BackendPools(loop, new DecisionLog());
    private long revision = 1;

    EvacuationDecisionsTest() {
        for (int number = 0; number < 9; number++) {
            pools.put(new BackendServer(
                    BackendServerId.of("engine-" + number),
                    ENGINES,
                    InetSocketAddress.createUnresolved("engine", 1),
                    AvailabilityZoneId.of(ZONES.get(number % ZONES.size())),
                    ENGINE.slots(),
                    false,
                    0,
                    1));
        }
    }

    @AfterEach
    void stopLoop() {
        loop.shutdownGracefully(0, 0, TimeUnit.MILLISECONDS).syncUninterruptibly();
    }

    private void evacuate(List<String> zones) {
        Map<AvailabilityZoneId, StoreRevision> items = new HashMap<>();
        zones.forEach(zone -> items.put(AvailabilityZoneId.of(zone), new StoreRevision(1, revision)));
        pools.evacuations().update(items, new StoreRevision(1, revision++), 0);
    }

    private List<AvailableServer> available() {
        return pools.available().get(ENGINES).stream()
                .map(server -> new AvailableServer(server.id(), server.slots()))
                .toList();
    }

    /** A load on one placer, which is told of servers and zones as the dispatcher of a service does. */
    private final class Load {
        private final Placer placer;
        private final RandomGenerator random;
        private final List<Job> running = new ArrayList<>();
        private final List<String> decisions = new ArrayList<>();
        private long nowNanos = TimeUnit.SECONDS.toNanos(100);
        private int jobs;

        Load(Placer placer, long seed) {
            this.placer = placer;
            this.random = new SplittableRandom(seed);
        }

        List<String> run(boolean evacuates) {
            placer.serversChanged(available(), nowNanos);
            for (int step = 0; step < STEPS; step++) {
                nowNanos += STEP_NANOS;
                if (evacuates && step % STEPS_PER_CHANGE == 0) {
                    changeZones();
                }
                if (random.nextInt(3) > 0) {
                    carryOut(placer.arrived(nextJob(), nowNanos));
                }
                if (!running.isEmpty() && random.nextInt(2) > 0) {
                    Job ended = running.remove(random.nextInt(running.size()));
                    carryOut(placer.ended(ended, AttemptOutcome.SERVED, nowNanos));
                    placer.forgotten(ended);
                }
                carryOut(placer.tick(nowNanos));
            }
            return decisions;
        }

        private void changeZones() {
            evacuate(ZONES.stream().filter(zone -> random.nextInt(3) == 0).toList());
            placer.serversChanged(available(), nowNanos);
            placer.takeWaiting().forEach(job -> carryOut(placer.arrived(job, nowNanos)));
        }

        private Job nextJob() {
            long tokens = random.nextInt(8) == 0 ? 120_000 : 1_000 + random.nextInt(8_000);
            return new Job(
                    "job-" + jobs++,
                    nowNanos,
                    Deadline.after(nowNanos, 8_000),
                    TimeUnit.MILLISECONDS.toNanos(300),
                    TimeUnit.MILLISECONDS.toNanos(250),
                    1,
                    Optional.of(new PromptLengths(tokens, 500, OptionalInt.empty())));
        }

        private void carryOut(List<Placement> placements) {
            for (Placement placement : placements) {
                decisions.add(placement.toString());
                if (placement instanceof Placement.Send send) {
                    running.add(send.job());
                    assertTrue(pools.acceptsRequests(send.server()), () -> "sent to a zone that is evacuated: " + send);
                    send.readers()
                            .forEach(reader -> assertTrue(pools.acceptsRequests(reader.server()), reader::toString));
                }
            }
        }
    }

    /** Guards against a queued or arriving job that is placed at an engine, or read by one, of an evacuated zone. */
    @Test
    void noPromptOfASeededLoadIsPlacedInAnEvacuatedZone() {
        for (long seed = 0; seed < SEEDS; seed++) {
            evacuate(List.of());
            new Load(new EnginePlacer(ENGINE, new SplittableRandom(seed)), seed).run(true);
        }
    }

    @Test
    void noPlainRequestOfASeededLoadIsPlacedInAnEvacuatedZone() {
        for (long seed = 0; seed < SEEDS; seed++) {
            evacuate(List.of());
            new Load(new LeastBusyPlacer(new SplittableRandom(seed)), seed).run(true);
        }
    }

    /** Guards against an evacuation that changes the decisions of services without servers in the zone. */
    @Test
    void aZoneWithoutServersChangesNoDecisionOfASeededLoad() {
        for (long seed = 0; seed < SEEDS; seed++) {
            evacuate(List.of());
            List<String> without = new Load(new EnginePlacer(ENGINE, new SplittableRandom(seed)), seed).run(false);
            evacuate(List.of("nowhere"));
            List<String> with = new Load(new EnginePlacer(ENGINE, new SplittableRandom(seed)), seed).run(false);
            assertEquals(without, with);
        }
    }

    /** Guards against later decisions that differ because the change of a zone used up random numbers. */
    @Test
    void aZoneWithoutServersDrawsNoRandomNumbersInTheDispatchers() {
        CountingRandom random = new CountingRandom();
        HostId self = HostId.of("host");
        GatewayMetrics metrics = new GatewayMetrics();
        ServiceDispatchers dispatchers = new ServiceDispatchers(
                self,
                pools,
                metrics,
                random,
                new RequestLimits(self, pools, new DecisionLog(), metrics, random),
                new ServiceDispatchers.RetryBudgetConfig(0.2, 10, 10_000));
        dispatchers.apply(new GatewaySettings(
                new SettingsVersion(1),
                List.of(),
                Map.of(ENGINES, new ServiceProfile(ENGINES, "", 0, 0, 0, Optional.of(ENGINE))),
                CallerLimits.DEFAULT,
                CallerAccess.OPEN));
        long before = random.draws;

        evacuate(List.of("nowhere"));
        dispatchers.zonesChanged();
        assertEquals(before, random.draws);

        evacuate(List.of("a"));
        dispatchers.zonesChanged();
        assertNotEquals(before, random.draws);
    }

    private static final class CountingRandom implements RandomGenerator {
        private long draws;

        @Override
        public long nextLong() {
            return draws++;
        }
    }
}

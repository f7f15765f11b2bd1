package io.figspan.policy.placement;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.figspan.core.id.AvailabilityZoneId;
import io.figspan.core.id.BackendServerId;
import io.figspan.policy.placement.LoadView.EngineLoad;
import io.figspan.policy.subset.EngineLocation;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.SplittableRandom;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.junit.jupiter.api.Test;

/**
 * Compares placement with an exhaustive search on small fleets. Guards against prompts and groups that are placed on
 * engines with more load or less free memory than others, and against sent prompts that are counted twice or not at
 * all.
 */
class PlacementProperties {
    private static final EngineSpeed SPEED = new EngineSpeed(40_000, 2_048, 50_000_000, 400_000);
    private static final long NOW = 10_000_000_000L;

    private static LoadView view(int engines, SplittableRandom random) {
        LoadView view = new LoadView(SPEED);
        for (int i = 0; i < engines; i++) {
            BackendServerId server = BackendServerId.of("runner-" + i);
            view.add(new EngineLocation(server, AvailabilityZoneId.of("az-" + i % 2)));
            if (random.nextInt(4) > 0) {
                long measuredAtNanos = NOW - random.nextLong(5_000_000_000L);
                long queued = random.nextInt(3) * random.nextLong(100_000);
                view.report(
                        server, new LoadReport(1, queued, 3, random.nextLong(400_000), 400_000, 0), measuredAtNanos);
            }
            for (int send = random.nextInt(4); send > 0; send--) {
                long tokens = 1_000 + random.nextLong(100_000);
                view.recordSent(server, 100L * i + send, tokens, tokens, tokens, NOW - random.nextLong(5_000_000_000L));
            }
            view.setLeaving(server, random.nextInt(6) == 0);
        }
        return view;
    }

    /** Reference implementation: the lowest cost of all engines that can accept the prompt. */
    private static long cheapest(LengthAwarePlacement placement, PromptCost cost, LoadView view) {
        long cheapest = Long.MAX_VALUE;
        for (EngineLoad load : view.engines()) {
            long reserve = cost.isLong() ? Math.min(80_000, 400_000 - cost.kvTokens()) : 0;
            boolean fits = load.kvFreeTokens() >= cost.promptTokens() + cost.maxOutputTokens() + reserve;
            if (fits && !load.leaving()) {
                cheapest = Math.min(cheapest, placement.costTokens(cost, view, load, any -> false, NOW));
            }
        }
        return cheapest;
    }

    @Property(tries = 500, seed = "1")
    void aSampleOfAllEnginesHasTheCostThatExhaustiveSearchFinds(
            @ForAll @IntRange(min = 1, max = 8) int engines,
            @ForAll @IntRange(min = 1_000, max = 330_000) int promptTokens,
            @ForAll long seed) {
        LoadView view = view(engines, new SplittableRandom(seed));
        PromptCost cost = new PromptCost(promptTokens, 100, 0, 0);
        LengthAwarePlacement placement = LengthAwarePlacement.DEFAULT;
        Optional<EngineLoad> chosen = placement.choose(cost, view, any -> false, new SplittableRandom(seed), NOW);
        long expected = cheapest(placement, cost, view);
        assertEquals(expected != Long.MAX_VALUE, chosen.isPresent());
        chosen.ifPresent(load -> assertEquals(expected, placement.costTokens(cost, view, load, any -> false, NOW)));
    }

    @Property(tries = 300, seed = "1")
    void aGroupIsInOneZoneAndNoOtherGroupHasMoreFreeMemoryOnItsFullestEngine(
            @ForAll @IntRange(min = 2, max = 10) int engines,
            @ForAll @IntRange(min = 340_000, max = 1_000_000) int promptTokens,
            @ForAll long seed) {
        LoadView view = view(engines, new SplittableRandom(seed));
        PromptCost cost = new PromptCost(promptTokens, 100, 0, 0);
        GroupPlacement groups = GroupPlacement.DEFAULT;
        int inLargestZone = 0;
        for (String zone : List.of("az-0", "az-1")) {
            int inZone = (int) view.engines().stream()
                    .filter(load -> !load.leaving() && load.zone().value().equals(zone))
                    .count();
            inLargestZone = Math.max(inLargestZone, inZone);
        }
        int size = Math.min(groups.size(cost, SPEED), inLargestZone);
        long each = size == 0 ? Long.MAX_VALUE : (cost.kvTokens() + size - 1) / size;
        List<BackendServerId> chosen = groups.choose(cost, view, view.engines(), 0);
        long best = -1;
        for (int set = 0; set < 1 << engines; set++) {
            if (Integer.bitCount(set) == size) {
                best = Math.max(best, minFreeTokens(view, set, each));
            }
        }
        assertEquals(best >= 0, !chosen.isEmpty());
        if (!chosen.isEmpty()) {
            assertEquals(chosen.stream().sorted().toList(), chosen);
            int set = 0;
            for (int i = 0; i < engines; i++) {
                set |= chosen.contains(view.engines().get(i).server()) ? 1 << i : 0;
            }
            assertEquals(best, minFreeTokens(view, set, each));
        }
    }

    /** Minimum free memory of a set of engines, or -1 if they cannot form a group. */
    private static long minFreeTokens(LoadView view, int set, long each) {
        long freeTokens = Long.MAX_VALUE;
        HashSet<AvailabilityZoneId> zones = new HashSet<>();
        for (int i = 0; i < view.engines().size(); i++) {
            EngineLoad load = view.engines().get(i);
            if ((set >> i & 1) == 1) {
                zones.add(load.zone());
                freeTokens =
                        load.leaving() || load.kvFreeTokens() < each ? -1 : Math.min(freeTokens, load.kvFreeTokens());
            }
        }
        return zones.size() == 1 ? freeTokens : -1;
    }

    @Property(tries = 200, seed = "1")
    void theLoadViewCountsExactlyThePromptsSentSinceTheReport(
            @ForAll @IntRange(min = 1, max = 60) int steps, @ForAll long seed) {
        SplittableRandom random = new SplittableRandom(seed);
        LoadView view = new LoadView(SPEED);
        BackendServerId server = BackendServerId.of("runner-0");
        view.add(new EngineLocation(server, AvailabilityZoneId.of("az-0")));
        java.util.Map<Long, long[]> expectedSends = new java.util.HashMap<>();
        long measuredAtNanos = Long.MIN_VALUE;
        long now = 0;
        for (long id = 1; id <= steps; id++) {
            now += 1_000_000;
            long anyId = 1 + random.nextLong(id);
            switch (random.nextInt(4)) {
                case 0 -> {
                    measuredAtNanos = Math.max(measuredAtNanos, now - random.nextLong(20_000_000));
                    view.report(server, new LoadReport(id, 0, 0, 0, 400_000, 0), measuredAtNanos);
                }
                case 1 -> {
                    view.recordFinished(server, anyId);
                    expectedSends.remove(anyId);
                }
                case 2 -> {
                    view.recordFirstToken(server, anyId);
                    expectedSends.computeIfPresent(anyId, (key, send) -> new long[] {send[0], 0, send[2]});
                }
                default -> {
                    view.recordSent(server, id, 1_000 * id, 10 * id, 10 * id, now);
                    expectedSends.put(id, new long[] {now, 10 * id, 10 * id});
                }
            }
            long pending =
                    expectedSends.values().stream().mapToLong(send -> send[1]).sum();
            long reportedAtNanos = measuredAtNanos;
            long kvTokens = expectedSends.values().stream()
                    .filter(send -> send[0] > reportedAtNanos)
                    .mapToLong(send -> send[2])
                    .sum();
            EngineLoad load = view.get(server);
            assertEquals(pending, load.ownPendingTokens());
            assertEquals(pending, load.ownPendingTokens(Long.MAX_VALUE));
            assertEquals(400_000 - kvTokens, load.kvFreeTokens());
            assertEquals(expectedSends.size(), load.outstanding());
        }
    }

    @Test
    void aPromptThatBarelyFitsOneEngineIsPlacedOnAnIdleOne() {
        LoadView view = new LoadView(SPEED);
        view.add(new EngineLocation(BackendServerId.of("runner-0"), AvailabilityZoneId.of("az-0")));
        PromptCost cost = new PromptCost(339_900, 100, 0, 0);
        assertTrue(GroupPlacement.DEFAULT.fitsOneEngine(cost, SPEED));
        assertEquals(1, LengthAwarePlacement.DEFAULT.candidates(cost, view).size());
    }
}

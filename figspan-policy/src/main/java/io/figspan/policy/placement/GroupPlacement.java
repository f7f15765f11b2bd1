package io.figspan.policy.placement;

import io.figspan.core.id.AvailabilityZoneId;
import io.figspan.core.id.BackendServerId;
import io.figspan.policy.placement.LoadView.EngineLoad;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * Choice of a group of engines in one availability zone for a prompt that is larger than one engine.
 *
 * @param singleFillShare largest part of one engine's memory that a prompt on that engine alone may take, 0 to 1
 * @param groupFillShare largest part of the memory of each engine of a group, 0 to 1; a smaller one needs more engines,
 *     but finds engines with the memory sooner
 */
public record GroupPlacement(double singleFillShare, double groupFillShare) {
    public static final GroupPlacement DEFAULT = new GroupPlacement(0.85, 0.6);

    public boolean fitsOneEngine(PromptCost cost, EngineSpeed speed) {
        return cost.kvTokens() <= (long) (speed.kvTotalTokens() * singleFillShare);
    }

    /** Number of engines that the prompt needs. */
    public int size(PromptCost cost, EngineSpeed speed) {
        return (int) ((cost.kvTokens() + maxKvTokens(speed) - 1) / maxKvTokens(speed));
    }

    /** Memory to hold on each engine of the group. */
    public long kvTokensEach(PromptCost cost, EngineSpeed speed) {
        return kvTokensEach(cost, size(cost, speed));
    }

    /** Memory to hold on each engine of a group of {@code size} engines. */
    public long kvTokensEach(PromptCost cost, int size) {
        return (cost.kvTokens() + size - 1) / size;
    }

    /**
     * Tells whether some availability zone has enough runners for the prompt, whatever memory is free now. Runners that
     * take no new work count too, because one that failed a moment ago may be back in time.
     */
    public boolean isPossible(PromptCost cost, LoadView view) {
        int size = Math.min(size(cost, view.speed()), largestZone(view.engines()));
        return size > 0 && kvTokensEach(cost, size) <= view.speed().kvTotalTokens();
    }

    /**
     * The group with the most free memory on its fullest engine, in ascending order of server ids so that two groups
     * cannot deadlock; empty when no zone has enough runners with the memory. A fleet whose zones have too few runners
     * for the usual size gets a smaller group without a reserve, as it would otherwise start only on idle engines.
     *
     * @param open runners that may take long prompts
     * @param reserveTokens memory that must be left on each engine
     */
    public List<BackendServerId> choose(PromptCost cost, LoadView view, List<EngineLoad> open, long reserveTokens) {
        List<EngineLoad> available =
                open.stream().filter(load -> !load.leaving()).toList();
        int wanted = size(cost, view.speed());
        int size = Math.min(wanted, largestZone(available));
        if (size == 0 || kvTokensEach(cost, size) > view.speed().kvTotalTokens()) {
            return List.of();
        }
        long each = kvTokensEach(cost, size);
        long reserve = size < wanted ? 0 : Math.min(reserveTokens, view.speed().kvTotalTokens() - each);
        Map<AvailabilityZoneId, List<EngineLoad>> byZone = new TreeMap<>();
        for (EngineLoad load : available) {
            if (load.kvFreeTokens() >= each + reserve) {
                byZone.computeIfAbsent(load.zone(), zone -> new ArrayList<>()).add(load);
            }
        }
        List<EngineLoad> best = List.of();
        long bestFree = -1;
        for (List<EngineLoad> ofZone : byZone.values()) {
            if (ofZone.size() < size) {
                continue;
            }
            ofZone.sort(Comparator.comparingLong(EngineLoad::kvFreeTokens).reversed());
            long free = ofZone.get(size - 1).kvFreeTokens();
            if (free > bestFree) {
                best = ofZone.subList(0, size);
                bestFree = free;
            }
        }
        return best.stream().map(EngineLoad::server).sorted().toList();
    }

    /** Number of runners of the zone with the most of them. */
    private static int largestZone(List<EngineLoad> runners) {
        Map<AvailabilityZoneId, Integer> counts = new TreeMap<>();
        runners.forEach(load -> counts.merge(load.zone(), 1, Integer::sum));
        return counts.values().stream().mapToInt(Integer::intValue).max().orElse(0);
    }

    private long maxKvTokens(EngineSpeed speed) {
        return (long) (speed.kvTotalTokens() * groupFillShare);
    }
}

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
 * Chooses a group of engines in one availability zone for a prompt whose KV cache does not fit on one engine.
 *
 * @param singleFillShare maximum fraction of an engine's memory that a prompt on a single engine may use, 0 to 1
 * @param groupFillShare maximum fraction of the memory of each engine of a group of the usual size, 0 to 1. A smaller
 *     fraction needs more engines, but engines with enough free memory become available sooner.
 */
public record GroupPlacement(double singleFillShare, double groupFillShare) {
    public static final GroupPlacement DEFAULT = new GroupPlacement(0.85, 0.6);

    /** Tells whether the prompt is placed on a single engine. */
    public boolean fitsOneEngine(PromptCost cost, EngineSpeed speed) {
        return cost.kvTokens() <= (long) (speed.kvTotalTokens() * singleFillShare);
    }

    /** Usual number of engines in the group for the prompt. */
    public int size(PromptCost cost, EngineSpeed speed) {
        return (int) ((cost.kvTokens() + maxKvTokens(speed) - 1) / maxKvTokens(speed));
    }

    /** KV cache tokens to reserve on each engine of a group of the usual size. */
    public long kvTokensEach(PromptCost cost, EngineSpeed speed) {
        return kvTokensEach(cost, size(cost, speed));
    }

    /** KV cache tokens to reserve on each engine of a group of {@code size} engines. */
    public long kvTokensEach(PromptCost cost, int size) {
        return (cost.kvTokens() + size - 1) / size;
    }

    /**
     * Tells whether any availability zone has enough engines for the prompt, regardless of their free memory. Engines
     * that accept no new work also count, because an engine that has just failed may recover in time.
     */
    public boolean isPossible(PromptCost cost, LoadView view) {
        int size = Math.min(size(cost, view.speed()), largestZoneSize(view.engines()));
        return size > 0 && kvTokensEach(cost, size) <= view.speed().kvTotalTokens();
    }

    /**
     * Chooses the group whose fullest engine has the most free memory. If every zone has fewer engines than the usual
     * size, the group is smaller and {@code reserveTokens} is ignored, because with the reserve it would start only on
     * idle engines.
     *
     * @param candidates engines that may receive long prompts; those that are leaving are skipped
     * @param reserveTokens memory that must remain free on each engine
     * @return the engines in ascending order of ids, so that concurrent reservations cannot deadlock; empty if no zone
     *     has enough engines with enough free memory
     */
    public List<BackendServerId> choose(
            PromptCost cost, LoadView view, List<EngineLoad> candidates, long reserveTokens) {
        List<EngineLoad> available =
                candidates.stream().filter(load -> !load.leaving()).toList();
        int usualSize = size(cost, view.speed());
        int size = Math.min(usualSize, largestZoneSize(available));
        if (size == 0 || kvTokensEach(cost, size) > view.speed().kvTotalTokens()) {
            return List.of();
        }
        long tokensPerEngine = kvTokensEach(cost, size);
        long reserve =
                size < usualSize ? 0 : Math.min(reserveTokens, view.speed().kvTotalTokens() - tokensPerEngine);
        Map<AvailabilityZoneId, List<EngineLoad>> byZone = new TreeMap<>();
        for (EngineLoad load : available) {
            if (load.kvFreeTokens() >= tokensPerEngine + reserve) {
                byZone.computeIfAbsent(load.zone(), zone -> new ArrayList<>()).add(load);
            }
        }
        List<EngineLoad> best = List.of();
        long bestFreeTokens = -1;
        for (List<EngineLoad> zoneEngines : byZone.values()) {
            if (zoneEngines.size() < size) {
                continue;
            }
            zoneEngines.sort(Comparator.comparingLong(EngineLoad::kvFreeTokens).reversed());
            long freeTokens = zoneEngines.get(size - 1).kvFreeTokens();
            if (freeTokens > bestFreeTokens) {
                best = zoneEngines.subList(0, size);
                bestFreeTokens = freeTokens;
            }
        }
        return best.stream().map(EngineLoad::server).sorted().toList();
    }

    /** Number of engines in the zone with the most engines. */
    private static int largestZoneSize(List<EngineLoad> engines) {
        Map<AvailabilityZoneId, Integer> counts = new TreeMap<>();
        engines.forEach(load -> counts.merge(load.zone(), 1, Integer::sum));
        return counts.values().stream().mapToInt(Integer::intValue).max().orElse(0);
    }

    private long maxKvTokens(EngineSpeed speed) {
        return (long) (speed.kvTotalTokens() * groupFillShare);
    }
}

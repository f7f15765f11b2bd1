package io.figspan.policy.placement;

import io.figspan.core.id.AvailabilityZoneId;
import io.figspan.core.id.BackendServerId;
import io.figspan.policy.placement.LoadView.RunnerLoad;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.stream.Collectors;

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

    /** Number of engines that the prompt takes where enough are available. */
    public int size(PromptCost cost, EngineSpeed speed) {
        return size(cost, speed, groupFillShare);
    }

    /** Memory to hold on each engine of a group of the size that is taken where enough are available. */
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
        return view.runners().stream()
                .collect(Collectors.groupingBy(RunnerLoad::zone, Collectors.counting()))
                .values()
                .stream()
                .anyMatch(count -> sizeIn(count.intValue(), cost, view.speed()) > 0);
    }

    /**
     * The group with the most free memory on its fullest engine, in ascending order of server ids so that two groups
     * cannot deadlock; empty when no zone has enough runners with the memory. A zone with too few runners for the usual
     * size gets a smaller group that fills each engine further, so that a small fleet also serves the longest prompts.
     *
     * @param open runners that may take long prompts
     * @param reserveTokens memory that must be left on each engine
     */
    public List<BackendServerId> choose(PromptCost cost, LoadView view, List<RunnerLoad> open, long reserveTokens) {
        List<RunnerLoad> best = List.of();
        long bestFree = -1;
        for (List<RunnerLoad> ofZone : runnersByZone(open).values()) {
            int size = sizeIn(ofZone.size(), cost, view.speed());
            if (size == 0) {
                continue;
            }
            ofZone.sort(Comparator.comparingLong(RunnerLoad::kvFreeTokens).reversed());
            long free = ofZone.get(size - 1).kvFreeTokens();
            // No reserve in a small zone, where the prompt would otherwise find a group only while the zone is idle.
            long reserve = size < size(cost, view.speed()) ? 0 : reserveTokens;
            boolean fits = free >= kvTokensEach(cost, size) + reserve;
            if (fits && free > bestFree) {
                best = ofZone.subList(0, size);
                bestFree = free;
            }
        }
        return best.stream().map(RunnerLoad::server).sorted().toList();
    }

    private static Map<AvailabilityZoneId, List<RunnerLoad>> runnersByZone(List<RunnerLoad> runners) {
        Map<AvailabilityZoneId, List<RunnerLoad>> byZone = new TreeMap<>();
        for (RunnerLoad load : runners) {
            if (!load.leaving()) {
                byZone.computeIfAbsent(load.zone(), zone -> new ArrayList<>()).add(load);
            }
        }
        return byZone;
    }

    /** Size of a group in a zone with this number of runners; 0 when they are too few. */
    private int sizeIn(int runners, PromptCost cost, EngineSpeed speed) {
        int usual = size(cost, speed, groupFillShare);
        int smallest = size(cost, speed, singleFillShare);
        if (runners >= usual) {
            return usual;
        }
        return runners >= smallest ? runners : 0;
    }

    private static int size(PromptCost cost, EngineSpeed speed, double fillShare) {
        long maxKvTokens = (long) (speed.kvTotalTokens() * fillShare);
        return (int) ((cost.kvTokens() + maxKvTokens - 1) / maxKvTokens);
    }
}

package io.figspan.policy.placing;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

/** Finds jobs whose engine has been silent for much longer than expected. */
final class OverdueJobs {
    /**
     * When more than one in this many engines are silent, they are prefilling one prompt together or this host is
     * partitioned, so none is reported as overdue.
     */
    private static final int MAX_SILENT_DIVISOR = 4;

    private OverdueJobs() {}

    /** Returns the overdue jobs that another engine could take, each once per attempt. */
    static List<Job> find(Map<Job, PlacedJob> placedJobs, EngineFleet fleet, long nowNanos) {
        Map<Job, PlacedJob> silent = new LinkedHashMap<>();
        Set<EngineState> silentEngines = new HashSet<>();
        placedJobs.forEach((job, placedJob) -> {
            if (placedJob.isOverdue(Millis.of(nowNanos))) {
                silent.put(job, placedJob);
                silentEngines.add(placedJob.primary);
            }
        });
        if (silentEngines.size() > Math.max(1, fleet.size() / MAX_SILENT_DIVISOR)) {
            return List.of();
        }
        List<Job> overdue = new ArrayList<>();
        silent.forEach((job, placedJob) -> {
            if (!placedJob.reportedOverdue && fleet.hasOther(job, nowNanos)) {
                placedJob.reportedOverdue = true;
                overdue.add(job);
            }
        });
        return overdue;
    }
}

package io.figspan.policy.placing;

import io.figspan.core.id.BackendServerId;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/** Where jobs were placed whose engines are silent, while their attempts there stay open. */
final class SilentJobs {
    private final Map<Job, List<PlacedJob>> placements = new HashMap<>();

    void add(Job job, PlacedJob placedJob) {
        placements.computeIfAbsent(job, key -> new ArrayList<>()).add(placedJob);
    }

    /** Removes and returns the placement of a job at one engine. */
    Optional<PlacedJob> remove(Job job, BackendServerId server) {
        List<PlacedJob> ofJob = placements.getOrDefault(job, List.of());
        Optional<PlacedJob> found = ofJob.stream()
                .filter(placedJob -> placedJob.primary.id().equals(server))
                .findFirst();
        found.ifPresent(ofJob::remove);
        return found;
    }

    void removeAll(Job job) {
        placements.remove(job);
    }
}

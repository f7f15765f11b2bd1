package io.figspan.policy.placing;

import io.figspan.core.id.BackendServerId;
import io.figspan.policy.placing.Placer.AvailableServer;
import io.figspan.settings.gateway.EngineProfile;
import java.util.ArrayList;
import java.util.Collections;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.random.RandomGenerator;

/** The engines of one service, including those that leave and still have requests. */
final class EngineFleet {
    private final EngineProfile profile;
    private final RandomGenerator random;
    private final RequestGate gate;
    private final Map<BackendServerId, EngineState> engines = new LinkedHashMap<>();

    /**
     * The engines that a job may use now.
     *
     * @param primaries those that may run it
     * @param helpers those that may prefill a share of it, including the primaries
     * @param freeSlots free slots of the primaries
     */
    record Candidates(List<EngineState> primaries, List<EngineState> helpers, int freeSlots) {}

    EngineFleet(EngineProfile profile, RandomGenerator random, RequestGate gate) {
        this.profile = profile;
        this.random = random;
        this.gate = gate;
    }

    /** Live view of the engines. */
    Map<BackendServerId, EngineState> byId() {
        return engines;
    }

    Optional<EngineState> find(BackendServerId server) {
        return Optional.ofNullable(engines.get(server));
    }

    int size() {
        return engines.size();
    }

    void serversChanged(List<AvailableServer> servers, long nowNanos) {
        engines.values().forEach(engine -> engine.setAvailable(false));
        for (AvailableServer server : shuffled(servers)) {
            EngineState engine =
                    engines.computeIfAbsent(server.id(), id -> new EngineState(id, profile, Millis.of(nowNanos)));
            engine.setAvailable(true);
            engine.setSlots(server.slots());
        }
        engines.values().removeIf(engine -> !engine.isAvailable() && engine.isIdle());
    }

    private List<AvailableServer> shuffled(List<AvailableServer> servers) {
        List<AvailableServer> shuffled = new ArrayList<>(servers);
        Collections.shuffle(shuffled, new Random(random.nextLong()));
        return shuffled;
    }

    List<BackendServerId> available() {
        return engines.values().stream()
                .filter(EngineState::isAvailable)
                .map(EngineState::id)
                .toList();
    }

    boolean isAvailable(BackendServerId server) {
        return find(server).filter(EngineState::isAvailable).isPresent();
    }

    Candidates candidatesFor(Job job, long nowNanos) {
        List<EngineState> helpers = new ArrayList<>();
        List<EngineState> primaries = new ArrayList<>();
        int freeSlots = 0;
        for (EngineState engine : engines.values()) {
            if (!engine.isUsable(Millis.of(nowNanos)) || !engine.canHelp() || !gate.admits(engine.id(), nowNanos)) {
                continue;
            }
            helpers.add(engine);
            if (engine.hasFreeSlot() && job.maySendTo(engine.id())) {
                primaries.add(engine);
                freeSlots += engine.freeSlots();
            }
        }
        return new Candidates(primaries, helpers, freeSlots);
    }

    /** Whether an engine with a free slot could take a job now, besides those that were tried. */
    boolean hasOther(Job job, long nowNanos) {
        return engines.values().stream()
                .anyMatch(engine -> engine.isUsable(Millis.of(nowNanos))
                        && engine.hasFreeSlot()
                        && job.maySendTo(engine.id())
                        && gate.admits(engine.id(), nowNanos));
    }

    /** Mean prefill backlog per engine. */
    double meanBacklogMs() {
        double total = 0;
        for (EngineState engine : engines.values()) {
            total += engine.simulation().prefillBacklogMs();
        }
        return total / Math.max(1, engines.size());
    }
}

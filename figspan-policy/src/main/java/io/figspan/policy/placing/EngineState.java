package io.figspan.policy.placing;

import io.figspan.core.id.BackendServerId;
import io.figspan.policy.engine.EngineSimulation;
import io.figspan.settings.gateway.EngineProfile;
import java.util.HashMap;
import java.util.Map;

/** One model engine as the placer sees it. */
final class EngineSeat {
    private final BackendServerId id;
    private final EngineProfile profile;
    private final EngineSimulation simulation;
    private final Map<Long, Long> holds = new HashMap<>();
    private int slots;
    private boolean open = true;
    private final Avoidance avoidance = new Avoidance();
    private double heardMs = Double.NEGATIVE_INFINITY;

    EngineSeat(BackendServerId id, EngineProfile profile, double nowMs) {
        this.id = id;
        this.profile = profile;
        this.simulation = new EngineSimulation(profile, nowMs);
    }

    BackendServerId id() {
        return id;
    }

    EngineProfile profile() {
        return profile;
    }

    EngineSimulation simulation() {
        return simulation;
    }

    void setSlots(int newSlots) {
        slots = newSlots;
    }

    /** Whether the engine takes new work at all. */
    void setOpen(boolean nowOpen) {
        open = nowOpen;
    }

    boolean isOpen() {
        return open;
    }

    Avoidance avoidance() {
        return avoidance;
    }

    boolean isUsable(double nowMs) {
        return open && !avoidance.isAvoided(nowMs);
    }

    /** A piece of an answer came from the engine. */
    void heard(double nowMs) {
        heardMs = nowMs;
        avoidance.served();
    }

    /** When the engine was last heard of. */
    double heardMs() {
        return heardMs;
    }

    /** Whether another request would run at once. */
    boolean hasSlot() {
        return simulation.occupiedSlots() < slots;
    }

    boolean hasMemory(double tokens) {
        return tokens <= freeMemoryTokens();
    }

    double freeMemoryTokens() {
        double held = 0;
        for (long tokens : holds.values()) {
            held += tokens;
        }
        return profile.memoryTokens() - simulation.memoryTokens() - held;
    }

    /** Memory is held here for a request that runs at another engine. */
    void hold(long key, long tokens) {
        holds.put(key, tokens);
    }

    void releaseHold(long key) {
        holds.remove(key);
    }

    /** Whether the engine has nothing to do for anybody. */
    boolean isIdle() {
        return holds.isEmpty() && simulation.occupiedSlots() + simulation.partsForOthers() == 0;
    }

    /** Whether the engine would read a part for another one. */
    boolean canRead() {
        return simulation.partsForOthers() < slots;
    }
}

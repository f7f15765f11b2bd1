package io.figspan.policy.placing;

import io.figspan.core.id.BackendServerId;
import io.figspan.policy.engine.EngineSimulation;
import io.figspan.settings.gateway.EngineProfile;
import java.util.HashMap;
import java.util.Map;

/** What the placer knows of one model engine: slots, memory, simulated load and recent failures. */
final class EngineState {
    private final BackendServerId id;
    private final EngineProfile profile;
    private final EngineSimulation simulation;
    private final Map<Long, Long> holds = new HashMap<>();
    private int slots;
    private boolean available = true;
    private final FailureBackoff failureBackoff = new FailureBackoff();
    private double lastOutputMs = Double.NEGATIVE_INFINITY;

    EngineState(BackendServerId id, EngineProfile profile, double nowMs) {
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

    /** Sets whether the engine accepts new work; when not, the requests it already has go on. */
    void setAvailable(boolean newAvailable) {
        available = newAvailable;
    }

    boolean isAvailable() {
        return available;
    }

    FailureBackoff failureBackoff() {
        return failureBackoff;
    }

    boolean isUsable(double nowMs) {
        return available && !failureBackoff.isActive(nowMs);
    }

    /** Records that a piece of an answer came from the engine, which also resets its failure backoff. */
    void outputReceived(double nowMs) {
        lastOutputMs = nowMs;
        failureBackoff.recordSuccess();
    }

    /** Time of the last piece of an answer from the engine; negative infinity when there was none. */
    double lastOutputMs() {
        return lastOutputMs;
    }

    /** Whether a slot is free, so that another request would start without queueing. */
    boolean hasFreeSlot() {
        return simulation.occupiedSlots() < slots;
    }

    int freeSlots() {
        return Math.max(0, slots - simulation.occupiedSlots());
    }

    boolean hasFreeMemory(double tokens) {
        return tokens <= freeMemoryTokens();
    }

    double freeMemoryTokens() {
        double held = 0;
        for (long tokens : holds.values()) {
            held += tokens;
        }
        return profile.memoryTokens() - simulation.memoryTokens() - held;
    }

    /** Records that the engine holds memory for a request that runs on another engine. */
    void hold(long key, long tokens) {
        holds.put(key, tokens);
    }

    void releaseHold(long key) {
        holds.remove(key);
    }

    /** Whether the engine has no requests, no shares for other engines and no held memory. */
    boolean isIdle() {
        return holds.isEmpty() && simulation.occupiedSlots() + simulation.helperShares() == 0;
    }

    /** Whether the engine accepts another share of a prompt that runs on another engine. */
    boolean canHelp() {
        return simulation.helperShares() < slots;
    }
}

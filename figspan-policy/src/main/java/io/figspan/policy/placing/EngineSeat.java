package io.figspan.policy.placing;

import io.figspan.core.id.BackendServerId;
import io.figspan.policy.engine.PassSimulation;
import io.figspan.settings.gateway.EngineProfile;

/** One model engine as the placer sees it. */
final class EngineSeat {
    private final BackendServerId id;
    private final EngineProfile profile;
    private final PassSimulation simulation;
    private int slots;
    private boolean open = true;
    private double avoidedUntilMs = Double.NEGATIVE_INFINITY;

    EngineSeat(BackendServerId id, EngineProfile profile, double nowMs) {
        this.id = id;
        this.profile = profile;
        this.simulation = new PassSimulation(profile, nowMs);
    }

    BackendServerId id() {
        return id;
    }

    EngineProfile profile() {
        return profile;
    }

    PassSimulation simulation() {
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

    void avoidUntil(double untilMs) {
        avoidedUntilMs = Math.max(avoidedUntilMs, untilMs);
    }

    boolean isUsable(double nowMs) {
        return open && nowMs >= avoidedUntilMs;
    }

    /** Whether another request would run at once. */
    boolean hasSlot() {
        return simulation.occupiedSlots() < slots;
    }

    boolean hasMemory(double tokens) {
        return simulation.memoryTokens() + tokens <= profile.memoryTokens();
    }

    /** Whether the engine would read a part for another one. */
    boolean canRead() {
        return simulation.partsForOthers() < slots;
    }
}

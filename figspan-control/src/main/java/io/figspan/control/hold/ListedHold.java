package io.figspan.control.hold;

import io.figspan.core.id.HoldHandle;

/** One hold reported by an engine; {@code timeLeftMs} is by the engine's clock, and 0 or less means expired. */
public record ListedHold(HoldHandle handle, long tokens, long timeLeftMs) {
    public boolean isExpired() {
        return timeLeftMs <= 0;
    }
}

package io.figspan.control.hold;

import io.figspan.core.id.HoldHandle;

/** One hold as an engine lists it, with the time left on the engine's own clock; zero or less is expired. */
public record ListedHold(HoldHandle handle, long tokens, long timeLeftMs) {
    public boolean isExpired() {
        return timeLeftMs <= 0;
    }
}

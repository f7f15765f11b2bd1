package io.figspan.control.hold;

import io.figspan.core.id.BackendIncarnation;
import io.figspan.core.id.HoldHandle;

/** A call that the driver of holds has to send to {@link #engine()}, and to no other process. */
public sealed interface HoldAction {
    BackendIncarnation engine();

    HoldHandle handle();

    /** Reserve memory for {@code tokens} tokens until {@code timeLeftMs} after the engine receives the call. */
    record Reserve(BackendIncarnation engine, HoldHandle handle, long tokens, long timeLeftMs) implements HoldAction {}

    /** Release the hold; idempotent, and without effect if the engine does not have it. */
    record Release(BackendIncarnation engine, HoldHandle handle) implements HoldAction {}
}

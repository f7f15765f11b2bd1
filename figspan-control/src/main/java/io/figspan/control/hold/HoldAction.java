package io.figspan.control.hold;

import io.figspan.core.id.BackendIncarnation;
import io.figspan.core.id.HoldHandle;

/** What the driver of holds has to do. Both calls go to the engine that is named, and nowhere else. */
public sealed interface HoldAction {
    BackendIncarnation engine();

    HoldHandle handle();

    /** Ask the engine to hold memory for {@code tokens} tokens until {@code timeLeftMs} from receipt. */
    record Reserve(BackendIncarnation engine, HoldHandle handle, long tokens, long timeLeftMs) implements HoldAction {}

    /** Ask the engine to release the hold; safe to repeat, and safe when the engine holds nothing. */
    record Release(BackendIncarnation engine, HoldHandle handle) implements HoldAction {}
}

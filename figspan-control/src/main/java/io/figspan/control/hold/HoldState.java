package io.figspan.control.hold;

/** States of a hold at its owner; the chart is {@code charts/engine-hold.toml}. */
public enum HoldState {
    /** The reserve call is unanswered; the engine may already hold the memory. */
    RESERVING,
    /** The engine confirmed the hold. */
    HELD,
    /** The release call is retried until the engine confirms it. */
    RELEASING,
    /**
     * The release call is retried while the unanswered reserve call may still reserve the memory; an answer that
     * nothing was held does not end this state.
     */
    RELEASING_UNANSWERED,
    /** The hold is over; the engine holds nothing for this handle. */
    RELEASED
}

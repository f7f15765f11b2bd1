package io.figspan.control.hold;

/** States of one engine hold at its owner; the chart is {@code charts/engine-hold.toml}. */
public enum HoldState {
    /** The reserve call is on its way; the engine may hold the memory already. */
    RESERVING,
    /** The engine confirmed the hold. */
    HELD,
    /** The release is repeated until the engine confirms it. */
    RELEASING,
    /**
     * The release is repeated while an unanswered reserve call may still take the memory; a confirmation that nothing
     * was held does not end this state.
     */
    RELEASING_UNANSWERED,
    /** The engine holds nothing for this handle. */
    RELEASED
}

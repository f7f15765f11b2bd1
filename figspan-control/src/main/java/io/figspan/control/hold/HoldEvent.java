package io.figspan.control.hold;

/** Events of the state chart of a hold. */
public enum HoldEvent {
    /** The engine confirmed the reserve call. */
    RESERVED,
    /** The engine refused the reserve call and reserved nothing. */
    REFUSED,
    /** The request ended, or its group failed. */
    RELEASE,
    /** The engine answered a release call, and had held the memory. */
    RELEASE_CONFIRMED,
    /** The engine answered a release call, and had held nothing. */
    NOTHING_HELD,
    /** The hold has expired; the engine frees the memory on its own. */
    EXPIRED,
    /** The engine process ended, which ended its holds. */
    ENGINE_GONE
}

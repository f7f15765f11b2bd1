package io.figspan.control.hold;

/** Events of the engine hold chart. */
public enum HoldEvent {
    /** The engine answered that the memory is held. */
    RESERVED,
    /** The engine answered that it took nothing. */
    REFUSED,
    /** The request ended, or its group failed. */
    RELEASE,
    /** The engine answered a release and had held the memory. */
    RELEASE_CONFIRMED,
    /** The engine answered a release and had held nothing. */
    NOTHING_HELD,
    /** The hold's expiry has passed; the engine returns the memory by itself. */
    EXPIRED,
    /** The engine process ended, and its holds with it. */
    ENGINE_GONE
}

package io.figspan.control.lifecycle;

/** Events of the host chart. */
public enum HostEvent {
    /** Settings are in force. */
    SETTINGS_READY,
    /** The operator or the platform asked for a graceful shutdown. */
    SHUTDOWN,
    /** Every caller's copy of the entry list has run out. */
    LISTS_RAN_OUT,
    /** No request and no executable ticket is left. */
    IDLE,
    /** The longest time allowed for the shutdown has passed. */
    LIMIT_REACHED
}

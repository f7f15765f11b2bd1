package io.figspan.control.lifecycle;

/** Events of the state chart of a host process. */
public enum HostEvent {
    /** Settings are in force. */
    SETTINGS_READY,
    /** The operator or the platform asked for a graceful shutdown. */
    SHUTDOWN,
    /** Every caller's cached copy of the entry list has expired. */
    LISTS_RAN_OUT,
    /** No request is in flight and no ticket can still be executed. */
    IDLE,
    /** The requests in progress can't go on, or their last answers would not be written before the kill. */
    LAST_ANSWERS_DUE,
    /** The process has to exit, or it is killed. */
    LIMIT_REACHED
}

package io.figspan.control.ticket;

/** Events of the ticket chart. */
public enum TicketEvent {
    /** A call executes the ticket. */
    EXECUTE,
    /** The owner gives up before any byte was written. */
    VOIDED,
    /** The next byte goes to a backend server. */
    WRITE_BEGAN,
    /** The service answered. */
    ANSWERED,
    /** The service's trusted answer proves that it ran nothing, and no other server is tried. */
    PROVEN_NOT_RUN,
    /** The service's trusted answer proves that it ran nothing, and another server is tried. */
    REDIRECTED,
    /** The connection broke or timed out after the write began, and it is not repeated. */
    BROKEN,
    /** The connection broke after the write began, and it is repeated with the idempotency key. */
    RETRY,
    /** The ticket's lifetime is over. */
    EXPIRED
}

package io.figspan.control.ticket;

/** Events of the state chart of a ticket. */
public enum TicketEvent {
    /** A call executes the ticket. */
    EXECUTE,
    /** The owner gives up before anything was written. */
    VOIDED,
    /** Writing to a backend server is about to begin. */
    WRITE_BEGAN,
    /** The service answered. */
    ANSWERED,
    /** A trusted answer states that the call was not run, and no other server is tried. */
    PROVEN_NOT_RUN,
    /** A trusted answer states that the call was not run, and another server is tried. */
    REDIRECTED,
    /** The connection broke or timed out after the write began, and the write is not retried. */
    BROKEN,
    /** The connection broke after the write began, and the write is retried with the same idempotency key. */
    RETRY,
    /** The ticket's lifetime is over. */
    EXPIRED
}

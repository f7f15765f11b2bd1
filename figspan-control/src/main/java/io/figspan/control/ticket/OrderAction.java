package io.figspan.control.ticket;

import io.figspan.core.id.HostIncarnation;
import io.figspan.core.id.TicketId;
import io.figspan.core.time.Deadline;

/** What the driver of the ticket owner has to do. */
public sealed interface OrderAction {
    /**
     * Connect to a backend server of the ticket's service that this ticket has not tried yet. When connected, ask
     * {@link TicketOwner#beforeWrite} and write only on {@link WriteNow}.
     */
    record StartWrite(Ticket ticket, int attempt, Deadline deadline) implements OrderAction {}

    /** Write the call now, with the ticket id as the idempotency key. */
    record WriteNow(Ticket ticket, int attempt) implements OrderAction {}

    /** Close the connection of this attempt without writing to it. */
    record Abandon(TicketId ticket, int attempt) implements OrderAction {}

    /** Answer a waiting call. Each call gets exactly one reply. */
    record Reply(CallId call, OrderOutcome outcome) implements OrderAction {}

    /** The call waits for the outcome of a write that another call started. */
    record AwaitOutcome(CallId call, TicketId ticket) implements OrderAction {}

    /** The ticket belongs to another host: forward the call, and answer {@code unknown} if that fails. */
    record Forward(CallId call, Ticket ticket, HostIncarnation owner) implements OrderAction {}
}

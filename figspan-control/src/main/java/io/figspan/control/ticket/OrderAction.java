package io.figspan.control.ticket;

import io.figspan.core.id.HostIncarnation;
import io.figspan.core.id.TicketId;
import io.figspan.core.time.Deadline;

/** An action that {@link TicketOwner} asks its driver to carry out. */
public sealed interface OrderAction {
    /**
     * Connect to a backend server of the ticket's service that was not tried for this ticket yet. Once connected, call
     * {@link TicketOwner#beforeWrite}, and write only on {@link WriteNow}.
     */
    record StartWrite(Ticket ticket, int attempt, Deadline deadline) implements OrderAction {}

    /** Write the call to the backend server, with the ticket id as the idempotency key. */
    record WriteNow(Ticket ticket, int attempt) implements OrderAction {}

    /** Close the connection of this attempt without writing to it. */
    record Abandon(TicketId ticket, int attempt) implements OrderAction {}

    /** Answer a call. Each call gets exactly one reply. */
    record Reply(CallId call, OrderOutcome outcome) implements OrderAction {}

    /** Keep the call open until the execution that another call started has an outcome. */
    record AwaitOutcome(CallId call, TicketId ticket) implements OrderAction {}

    /** Forward the call to the host that owns the ticket, and answer {@code unknown} if that fails. */
    record Forward(CallId call, Ticket ticket, HostIncarnation owner) implements OrderAction {}
}

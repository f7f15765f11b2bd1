package io.figspan.control.ticket;

import io.figspan.core.id.HostIncarnation;
import io.figspan.core.id.OrganisationId;
import io.figspan.core.id.ServiceId;
import io.figspan.core.id.TicketId;

/** The right to execute one non-idempotent call on a service, at the one process that issued the ticket. */
public record Ticket(OrganisationId organisation, ServiceId service, TicketId id, HostIncarnation owner) {}

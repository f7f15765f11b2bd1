package io.figspan.control.ticket;

import io.figspan.core.id.HostIncarnation;
import io.figspan.core.id.OrganisationId;
import io.figspan.core.id.ServiceId;
import io.figspan.core.id.TicketId;

/** Permission to execute one non-idempotent call on a service; only the host process that issued it executes it. */
public record Ticket(OrganisationId organisation, ServiceId service, TicketId id, HostIncarnation owner) {}

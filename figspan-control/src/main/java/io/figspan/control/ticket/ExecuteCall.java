package io.figspan.control.ticket;

import io.figspan.core.time.Deadline;

/** A call that executes a ticket, received from a caller or forwarded by another host. */
public record ExecuteCall(CallId call, Ticket ticket, BodyDigest body, OrderRules rules, Deadline deadline) {}

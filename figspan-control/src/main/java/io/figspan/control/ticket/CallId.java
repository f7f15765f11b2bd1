package io.figspan.control.ticket;

/** Names one waiting call within one process; the driver never reuses a number. */
public record CallId(long number) {}

package io.figspan.control.ticket;

/** Identifies one call within this process. The driver assigns the numbers and never reuses one. */
public record CallId(long number) {}

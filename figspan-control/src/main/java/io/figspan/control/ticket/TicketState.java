package io.figspan.control.ticket;

import io.figspan.core.error.RunState;

/** States of a ticket at its owner; the chart is {@code charts/ticket.toml}. */
public enum TicketState {
    /** Issued, and not executed yet. */
    ISSUED("issued", RunState.UNKNOWN),
    /** A backend server is being connected to; no byte has been written. */
    CONNECTING("connecting", RunState.UNKNOWN),
    /** The write has begun. */
    WRITING("writing", RunState.UNKNOWN),
    /** The write broke and is being repeated with an idempotency key. */
    RETRYING("retrying", RunState.UNKNOWN),
    /** The service answered. */
    ANSWERED("answered", RunState.RAN),
    /** Void: never run, and never will be. */
    NOT_RUN("notRun", RunState.NOT_RUN),
    /** The write began, and its outcome cannot be told. */
    UNKNOWN("unknown", RunState.UNKNOWN),
    /** Expired before any call executed it; it never will be executed. */
    EXPIRED("expired", RunState.NOT_RUN);

    private final String wireName;
    private final RunState run;

    TicketState(String wireName, RunState run) {
        this.wireName = wireName;
        this.run = run;
    }

    public String wireName() {
        return wireName;
    }

    /** What may be told to a caller. A state that can still lead to a write is never told as {@code notRun}. */
    public RunState run() {
        return run;
    }

    /** Tells whether a backend server may be in use for this ticket. */
    public boolean isInFlight() {
        return this == CONNECTING || this == WRITING || this == RETRYING;
    }
}

package io.figspan.control.ticket;

import io.figspan.core.error.RunState;

/** States of a ticket at its owner; the chart is {@code charts/ticket.toml}. */
public enum TicketState {
    /** Issued, not executed yet. */
    ISSUED("issued", RunState.UNKNOWN),
    /** Connecting to a backend server; nothing has been written. */
    CONNECTING("connecting", RunState.UNKNOWN),
    /** The write has begun. */
    WRITING("writing", RunState.UNKNOWN),
    /** The connection broke after the write began; the write is being retried with the same idempotency key. */
    RETRYING("retrying", RunState.UNKNOWN),
    /** The service answered. */
    ANSWERED("answered", RunState.RAN),
    /** Void: the call did not run and never will. */
    NOT_RUN("notRun", RunState.NOT_RUN),
    /** The write began, and its outcome is not known. */
    UNKNOWN("unknown", RunState.UNKNOWN),
    /** Expired before it was executed; the call never runs. */
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

    /** Run state reported to callers; never {@code notRun} in a state that can still lead to a write. */
    public RunState run() {
        return run;
    }

    /** Returns whether the ticket is being executed, so that a connection to a backend server may be open. */
    public boolean isInFlight() {
        return this == CONNECTING || this == WRITING || this == RETRYING;
    }
}

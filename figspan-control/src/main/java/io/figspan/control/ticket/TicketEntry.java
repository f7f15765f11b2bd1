package io.figspan.control.ticket;

import io.figspan.core.time.Deadline;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Set;

/** Entry of {@link TicketTable}. */
final class TicketEntry {
    final Ticket ticket;
    final long expiryNanos;
    final long retentionMs;
    /** Calls waiting for the outcome, with their deadlines, in order of arrival. */
    final Map<CallId, Deadline> waiting = new LinkedHashMap<>();
    /** Attempts that were written and may have run, as no trusted answer states the opposite. */
    final Set<Integer> unresolvedWrites = new HashSet<>();

    TicketState state;
    /** Monotonic time of the next timeout check of this entry. */
    long nextCheckNanos;
    /** Monotonic time at which the entry settled; valid only if {@link #isSettled()}. */
    long settledNanos;

    BodyDigest body;
    OrderRules rules = OrderRules.STRICT;
    Deadline deadline;
    int attempt;
    OrderOutcome outcome;

    TicketEntry(Ticket ticket, TicketState state, long expiryNanos, long retentionMs) {
        this.ticket = ticket;
        this.state = state;
        this.expiryNanos = expiryNanos;
        this.retentionMs = retentionMs;
    }

    boolean isSettled() {
        return state != TicketState.ISSUED && !state.isInFlight();
    }

    /** Returns whether neither the ticket's expiry nor the call's deadline has passed; checked before each write. */
    boolean mayStillWrite(long nowNanos) {
        return nowNanos - expiryNanos < 0 && !deadline.hasPassed(nowNanos);
    }
}

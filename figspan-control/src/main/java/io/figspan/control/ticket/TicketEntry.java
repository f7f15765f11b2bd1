package io.figspan.control.ticket;

import io.figspan.core.time.Deadline;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Set;

/** One row of the owner's table. */
final class TicketEntry {
    final Ticket ticket;
    final long expiryNanos;
    final long retentionMs;
    /** Calls that wait for the outcome, with their deadlines, in order of arrival. */
    final Map<CallId, Deadline> waiting = new LinkedHashMap<>();
    /** Attempts that were written and that no trusted answer has proven not to have run. */
    final Set<Integer> openWrites = new HashSet<>();

    TicketState state;
    /** Time at which the owner looks at this entry again without an event. */
    long nextLookNanos;
    /** Time at which the entry settled; meaningful once the state is not in flight. */
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

    /** The check of expiry and deadline that guards each write. */
    boolean mayStillWrite(long nowNanos) {
        return nowNanos - expiryNanos < 0 && !deadline.hasPassed(nowNanos);
    }
}

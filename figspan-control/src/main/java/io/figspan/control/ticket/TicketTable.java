package io.figspan.control.ticket;

import io.figspan.core.id.OrganisationId;
import io.figspan.core.id.TicketId;
import java.util.Comparator;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.TreeSet;

/** Bounded table of a {@link TicketOwner}'s tickets, with a queue ordered by the time of the next timeout check. */
final class TicketTable {
    private final TicketOwnerConfig config;
    private final Map<TicketId, TicketEntry> entries = new HashMap<>();
    private final Map<OrganisationId, Integer> countByOrganisation = new HashMap<>();
    private final TreeSet<TicketEntry> byNextCheck;
    private long storedBodyBytes;
    private int waitingCalls;

    TicketTable(TicketOwnerConfig config) {
        this.config = config;
        this.byNextCheck = new TreeSet<>(Comparator.<TicketEntry>comparingLong(entry -> entry.nextCheckNanos)
                .thenComparing(e -> e.ticket.id()));
    }

    int size() {
        return entries.size();
    }

    boolean isFull() {
        return entries.size() >= config.capacityTickets();
    }

    boolean isFullFor(OrganisationId organisation) {
        return countByOrganisation.getOrDefault(organisation, 0) >= config.organisationTickets();
    }

    Optional<TicketEntry> find(TicketId id) {
        return Optional.ofNullable(entries.get(id));
    }

    Iterable<TicketEntry> entries() {
        return entries.values();
    }

    void add(TicketEntry entry) {
        entries.put(entry.ticket.id(), entry);
        countByOrganisation.merge(entry.ticket.organisation(), 1, Integer::sum);
        byNextCheck.add(entry);
    }

    void remove(TicketEntry entry) {
        byNextCheck.remove(entry);
        entries.remove(entry.ticket.id());
        countByOrganisation.computeIfPresent(
                entry.ticket.organisation(), (organisation, count) -> count > 1 ? count - 1 : null);
        if (entry.outcome instanceof OrderOutcome.Answered answered) {
            storedBodyBytes -= answered.answer().body().sizeBytes();
        }
    }

    void scheduleCheck(TicketEntry entry, long atNanos) {
        byNextCheck.remove(entry);
        entry.nextCheckNanos = atNanos;
        byNextCheck.add(entry);
    }

    /** Returns the entry whose timeout check is due first. */
    Optional<TicketEntry> first() {
        return byNextCheck.isEmpty() ? Optional.empty() : Optional.of(byNextCheck.first());
    }

    /** Stores an outcome, without the answer's body if that would exceed the limit for stored bodies. */
    void store(TicketEntry entry, OrderOutcome outcome) {
        entry.outcome = outcome;
        if (!(outcome instanceof OrderOutcome.Answered answered)) {
            return;
        }
        int sizeBytes = answered.answer().body().sizeBytes();
        if (storedBodyBytes + sizeBytes > config.storedBodyBytes()) {
            entry.outcome = new OrderOutcome.Answered(answered.answer().withoutBody());
            return;
        }
        storedBodyBytes += sizeBytes;
    }

    // Waiting calls

    boolean canWait() {
        return waitingCalls < config.waitingCalls();
    }

    void addWaiting(TicketEntry entry, ExecuteCall call) {
        entry.waiting.put(call.call(), call.deadline());
        waitingCalls++;
    }

    void removeWaiting(TicketEntry entry, CallId call) {
        if (entry.waiting.remove(call) != null) {
            waitingCalls--;
        }
    }
}

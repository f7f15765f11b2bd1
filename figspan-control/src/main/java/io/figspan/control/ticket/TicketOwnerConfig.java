package io.figspan.control.ticket;

import io.figspan.core.error.FigspanException;
import io.figspan.core.error.Location;
import io.figspan.core.error.ProblemKind;

/**
 * Bounds of the ticket table.
 *
 * @param capacityTickets entries in the table; issue is refused beyond it
 * @param organisationTickets entries of one organisation, so that one cannot fill the table for all
 * @param waitingCalls calls that wait for outcomes at the same time
 * @param storedBodyBytes bytes of answers kept for later queries, over all entries
 * @param lifetimeMs time from issue in which a ticket can be executed
 * @param retentionMs time after expiry in which the outcome is still told
 * @param lateAnswerMs time after the call's deadline in which an answer is still awaited for later queries
 * @param maxAttempts backend servers tried for one ticket
 */
public record TicketOwnerConfig(
        int capacityTickets,
        int organisationTickets,
        int waitingCalls,
        long storedBodyBytes,
        long lifetimeMs,
        long retentionMs,
        long lateAnswerMs,
        int maxAttempts) {
    public static final TicketOwnerConfig DEFAULT =
            new TicketOwnerConfig(65_536, 16_384, 8_192, 16L << 20, 60_000, 300_000, 30_000, 3);

    public TicketOwnerConfig {
        boolean valid = capacityTickets > 0
                && organisationTickets > 0
                && waitingCalls > 0
                && storedBodyBytes >= 0
                && lifetimeMs > 0
                && retentionMs >= 0
                && lateAnswerMs >= 0
                && maxAttempts > 0;
        if (!valid) {
            throw new FigspanException(
                    ProblemKind.INVALID_VALUE, "ticket table bounds must be positive", Location.of("orders"));
        }
    }

    public TicketOwnerConfig withCapacity(int newCapacityTickets, int newOrganisationTickets) {
        return new TicketOwnerConfig(
                newCapacityTickets,
                newOrganisationTickets,
                waitingCalls,
                storedBodyBytes,
                lifetimeMs,
                retentionMs,
                lateAnswerMs,
                maxAttempts);
    }

    public TicketOwnerConfig withTimes(long newLifetimeMs, long newRetentionMs, long newLateAnswerMs) {
        return new TicketOwnerConfig(
                capacityTickets,
                organisationTickets,
                waitingCalls,
                storedBodyBytes,
                newLifetimeMs,
                newRetentionMs,
                newLateAnswerMs,
                maxAttempts);
    }
}

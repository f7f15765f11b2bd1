package io.figspan.control.ticket;

import io.figspan.core.error.FigspanException;
import io.figspan.core.error.Location;
import io.figspan.core.error.ProblemKind;

/**
 * Limits and timeouts of {@link TicketOwner}.
 *
 * @param capacityTickets maximum number of entries in the table; no ticket is issued beyond it
 * @param organisationTickets maximum number of entries of one organisation, so that none can fill the whole table
 * @param waitingCalls maximum number of calls waiting for outcomes
 * @param storedBodyBytes maximum total size in bytes of the answer bodies kept for later queries
 * @param lifetimeMs time from issue in which a ticket can be executed
 * @param retentionMs time after expiry in which the outcome can still be queried
 * @param lateAnswerMs time after the call's deadline in which a late answer is still accepted, for later queries
 * @param maxAttempts maximum number of backend servers tried for one ticket
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

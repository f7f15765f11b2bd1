package io.figspan.control.hold;

import io.figspan.core.error.FigspanException;
import io.figspan.core.error.Location;
import io.figspan.core.error.ProblemKind;

/**
 * Limits and timeouts of {@link HoldLedger}.
 *
 * @param capacityHolds maximum number of tracked holds; a further one is refused
 * @param graceMs time after the request's deadline at which a hold expires on the engine
 * @param releaseRetryMs initial delay before an unconfirmed release is retried; it doubles up to eight times this value
 * @param leaseMs lease of a hold, which is renewed as long as the hold is in use; 0 reserves up to the expiry at once
 */
public record HoldLedgerConfig(int capacityHolds, long graceMs, long releaseRetryMs, long leaseMs) {
    public static final HoldLedgerConfig DEFAULT = new HoldLedgerConfig(16_384, 5_000, 250, 0);

    /** A hold is renewed after this fraction of its lease (1 / value), so that two renewals may fail. */
    private static final int RENEWALS_PER_LEASE = 3;

    /** A rejected renewal is retried after this fraction of the lease (1 / value). */
    private static final int RETRIES_PER_LEASE = 12;

    public HoldLedgerConfig(int capacityHolds, long graceMs, long releaseRetryMs) {
        this(capacityHolds, graceMs, releaseRetryMs, 0);
    }

    public HoldLedgerConfig {
        if (capacityHolds <= 0 || graceMs < 0 || releaseRetryMs <= 0 || leaseMs < 0) {
            throw new FigspanException(
                    ProblemKind.INVALID_VALUE, "hold ledger bounds must be positive", Location.of("holds"));
        }
    }

    /** Returns a copy with leases, which let holds expire soon after this process ends. */
    public HoldLedgerConfig withLeaseMs(long newLeaseMs) {
        return new HoldLedgerConfig(capacityHolds, graceMs, releaseRetryMs, newLeaseMs);
    }

    boolean hasLeases() {
        return leaseMs > 0;
    }

    long renewAfterMs() {
        return leaseMs / RENEWALS_PER_LEASE;
    }

    long renewalRetryMs() {
        return leaseMs / RETRIES_PER_LEASE;
    }
}

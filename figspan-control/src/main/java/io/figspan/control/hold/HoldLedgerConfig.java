package io.figspan.control.hold;

import io.figspan.core.error.FigspanException;
import io.figspan.core.error.Location;
import io.figspan.core.error.ProblemKind;

/**
 * Bounds of the ledger.
 *
 * @param capacityHolds holds tracked at the same time; a new one is refused beyond it
 * @param graceMs time after the request's deadline at which the engine returns the memory by itself
 * @param releaseRetryMs time until an unconfirmed release is repeated; it doubles up to eight times this value
 * @param leaseMs time for which memory is asked for at once; a hold is renewed as long as it is wanted. 0 asks for all
 *     the time at the start
 */
public record HoldLedgerConfig(int capacityHolds, long graceMs, long releaseRetryMs, long leaseMs) {
    public static final HoldLedgerConfig DEFAULT = new HoldLedgerConfig(16_384, 5_000, 250, 0);

    /** A hold is renewed when this part of its lease is over, so that two renewals may fail. */
    private static final int RENEWALS_PER_LEASE = 3;

    public HoldLedgerConfig(int capacityHolds, long graceMs, long releaseRetryMs) {
        this(capacityHolds, graceMs, releaseRetryMs, 0);
    }

    public HoldLedgerConfig {
        if (capacityHolds <= 0 || graceMs < 0 || releaseRetryMs <= 0 || leaseMs < 0) {
            throw new FigspanException(
                    ProblemKind.INVALID_VALUE, "hold ledger bounds must be positive", Location.of("holds"));
        }
    }

    /** The same bounds with leases that end soon after this process does. */
    public HoldLedgerConfig withLeaseMs(long newLeaseMs) {
        return new HoldLedgerConfig(capacityHolds, graceMs, releaseRetryMs, newLeaseMs);
    }

    boolean hasLeases() {
        return leaseMs > 0;
    }

    long renewAfterMs() {
        return leaseMs / RENEWALS_PER_LEASE;
    }
}

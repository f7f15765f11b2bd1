package io.figspan.control.hold;

import io.figspan.core.error.FigspanException;
import io.figspan.core.error.Location;
import io.figspan.core.error.ProblemKind;

/**
 * Bounds of the ledger.
 *
 * @param capacityHolds holds tracked at the same time; a new one is refused beyond it
 * @param graceMs time after the request's deadline at which the engine returns the memory by itself
 * @param releaseAgainMs time until an unconfirmed release is repeated; it doubles up to eight times this value
 */
public record HoldLedgerConfig(int capacityHolds, long graceMs, long releaseAgainMs) {
    public static final HoldLedgerConfig DEFAULT = new HoldLedgerConfig(16_384, 5_000, 250);

    public HoldLedgerConfig {
        if (capacityHolds <= 0 || graceMs < 0 || releaseAgainMs <= 0) {
            throw new FigspanException(
                    ProblemKind.INVALID_VALUE, "hold ledger bounds must be positive", Location.of("holds"));
        }
    }
}

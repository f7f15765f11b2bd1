package io.figspan.control.steward;

import io.figspan.core.error.FigspanException;
import io.figspan.core.error.Location;
import io.figspan.core.error.ProblemKind;

/**
 * Bounds of a steward.
 *
 * @param fleetLoadsPerMinute loads that the weight store serves for the whole fleet
 * @param maxReportAgeMs oldest report and membership view that an order may rest on
 * @param orderRetryMs time until an order that had no visible effect is repeated
 */
public record ModelReconcilerConfig(double fleetLoadsPerMinute, long maxReportAgeMs, long orderRetryMs) {
    public static final ModelReconcilerConfig DEFAULT = new ModelReconcilerConfig(60, 10_000, 30_000);

    public ModelReconcilerConfig {
        if (fleetLoadsPerMinute <= 0 || maxReportAgeMs <= 0 || orderRetryMs <= 0) {
            throw new FigspanException(
                    ProblemKind.INVALID_VALUE, "steward bounds must be positive", Location.of("steward"));
        }
    }
}

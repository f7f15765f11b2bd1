package io.figspan.control.steward;

import io.figspan.core.error.FigspanException;
import io.figspan.core.error.Location;
import io.figspan.core.error.ProblemKind;

/**
 * Limits and timeouts of {@link ModelReconciler}.
 *
 * @param fleetLoadsPerMinute rate limit of model loads from the weight store, for the whole fleet
 * @param maxReportAgeMs maximum age of the engine report and the membership view that an order is based on
 * @param orderRetryMs time after which an order without visible effect is sent again
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

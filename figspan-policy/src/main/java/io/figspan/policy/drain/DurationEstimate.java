package io.figspan.policy.drain;

import java.util.Locale;

/**
 * Estimate of the duration of one request.
 *
 * @param expectedMs time from the receipt of the request to its complete answer, at most its timeout
 * @param basis the durations from which it was derived
 */
public record DurationEstimate(long expectedMs, Basis basis) {
    /** The durations from which an estimate is derived. */
    public enum Basis {
        /** Recent requests of the same size class. */
        SAME_SIZE,
        /** Recent requests of a larger size class. */
        LARGER_SIZE,
        /** Recent requests of a smaller size class, in proportion. */
        SMALLER_SIZE,
        /** No durations are known. */
        NOTHING;

        /** The name in logs. */
        public String wireName() {
            return name().toLowerCase(Locale.ROOT).replace('_', ' ');
        }
    }
}

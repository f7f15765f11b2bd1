package io.figspan.policy.placing;

/** Converts nanoseconds, the unit of the {@link Placer} interface, to fractional milliseconds. */
final class Millis {
    private static final double NANOS_PER_MS = 1e6;

    private Millis() {}

    static double of(long nanos) {
        return nanos / NANOS_PER_MS;
    }
}

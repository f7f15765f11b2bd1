package io.figspan.policy.placing;

/** Times of the drivers, in nanoseconds, as the milliseconds that placing reckons in. */
final class Millis {
    private static final double NANOS_PER_MS = 1e6;

    private Millis() {}

    static double of(long nanos) {
        return nanos / NANOS_PER_MS;
    }
}

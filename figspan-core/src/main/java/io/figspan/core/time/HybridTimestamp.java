package io.figspan.core.time;

/** Timestamp of a hybrid logical clock: wall-clock time in milliseconds and a counter that breaks ties. */
public record HybridTimestamp(long wallMs, int counter) implements Comparable<HybridTimestamp> {
    public static final HybridTimestamp ZERO = new HybridTimestamp(0, 0);

    @Override
    public int compareTo(HybridTimestamp other) {
        int byWall = Long.compare(wallMs, other.wallMs);
        return byWall != 0 ? byWall : Integer.compare(counter, other.counter);
    }

    @Override
    public String toString() {
        return wallMs + "." + counter;
    }
}

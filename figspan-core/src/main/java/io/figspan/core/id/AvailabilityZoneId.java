package io.figspan.core.id;

/** Identifier of an availability zone. */
public record AvailabilityZoneId(String value) implements Comparable<AvailabilityZoneId> {
    public AvailabilityZoneId {
        IdFormat.requireValid("availability zone id", value);
    }

    public static AvailabilityZoneId of(String value) {
        return new AvailabilityZoneId(value);
    }

    @Override
    public int compareTo(AvailabilityZoneId other) {
        return value.compareTo(other.value);
    }

    @Override
    public String toString() {
        return value;
    }
}

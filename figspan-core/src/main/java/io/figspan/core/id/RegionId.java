package io.figspan.core.id;

/** Identifier of a region, a group of availability zones. */
public record RegionId(String value) implements Comparable<RegionId> {
    public RegionId {
        IdFormat.requireValid("region id", value);
    }

    public static RegionId of(String value) {
        return new RegionId(value);
    }

    @Override
    public int compareTo(RegionId other) {
        return value.compareTo(other.value);
    }

    @Override
    public String toString() {
        return value;
    }
}

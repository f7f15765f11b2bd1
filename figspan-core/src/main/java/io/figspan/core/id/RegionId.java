package io.figspan.core.id;

/** Names a region, which groups availability zones. */
public record RegionId(String value) implements Comparable<RegionId> {
    public RegionId {
        Ids.requireName("region id", value);
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

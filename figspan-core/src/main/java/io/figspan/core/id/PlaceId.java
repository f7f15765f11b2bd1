package io.figspan.core.id;

/** Identifier of a place, the settings level below a service; usually an availability zone. */
public record PlaceId(String value) implements Comparable<PlaceId> {
    public PlaceId {
        IdFormat.requireValid("place id", value);
    }

    public static PlaceId of(String value) {
        return new PlaceId(value);
    }

    @Override
    public int compareTo(PlaceId other) {
        return value.compareTo(other.value);
    }

    @Override
    public String toString() {
        return value;
    }
}

package io.figspan.core.id;

/** Names a place of a service in the settings tree, usually an availability zone. */
public record PlaceId(String value) implements Comparable<PlaceId> {
    public PlaceId {
        Ids.requireName("place id", value);
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

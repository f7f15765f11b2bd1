package io.figspan.core.id;

/** Names the seat of an entry host in the roster; a replacement process takes over the seat with a new incarnation. */
public record HostId(String value) implements Comparable<HostId> {
    public HostId {
        Ids.requireName("host id", value);
    }

    public static HostId of(String value) {
        return new HostId(value);
    }

    @Override
    public int compareTo(HostId other) {
        return value.compareTo(other.value);
    }

    @Override
    public String toString() {
        return value;
    }
}

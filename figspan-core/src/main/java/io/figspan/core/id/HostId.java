package io.figspan.core.id;

/**
 * Identifier of an entry host in the roster. It outlives a process: a replacement process keeps the id and has a new
 * {@link HostIncarnation}.
 */
public record HostId(String value) implements Comparable<HostId> {
    public HostId {
        IdFormat.requireValid("host id", value);
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

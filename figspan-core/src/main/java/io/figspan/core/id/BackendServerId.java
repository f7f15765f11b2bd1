package io.figspan.core.id;

/** Identifier of a backend server: a model engine or a plain service. */
public record BackendServerId(String value) implements Comparable<BackendServerId> {
    public BackendServerId {
        IdFormat.requireValid("backend server id", value);
    }

    public static BackendServerId of(String value) {
        return new BackendServerId(value);
    }

    @Override
    public int compareTo(BackendServerId other) {
        return value.compareTo(other.value);
    }

    @Override
    public String toString() {
        return value;
    }
}

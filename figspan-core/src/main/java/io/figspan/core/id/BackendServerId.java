package io.figspan.core.id;

/** Names a backend server: a model engine or a plain service. */
public record BackendServerId(String value) implements Comparable<BackendServerId> {
    public BackendServerId {
        Ids.requireName("backend server id", value);
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

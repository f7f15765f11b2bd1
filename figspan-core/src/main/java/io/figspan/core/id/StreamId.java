package io.figspan.core.id;

/** Identifier of an answer stream on an engine. It is assigned by a host and never reused. */
public record StreamId(String value) implements Comparable<StreamId> {
    public StreamId {
        IdFormat.requireValid("stream id", value);
    }

    public static StreamId of(String value) {
        return new StreamId(value);
    }

    @Override
    public int compareTo(StreamId other) {
        return value.compareTo(other.value);
    }

    @Override
    public String toString() {
        return value;
    }
}

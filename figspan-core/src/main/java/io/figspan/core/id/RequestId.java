package io.figspan.core.id;

/** Identifier of a request. The caller chooses it, so it is unique only within one organisation. */
public record RequestId(String value) implements Comparable<RequestId> {
    public RequestId {
        IdFormat.requireValid("request id", value);
    }

    public static RequestId of(String value) {
        return new RequestId(value);
    }

    @Override
    public int compareTo(RequestId other) {
        return value.compareTo(other.value);
    }

    @Override
    public String toString() {
        return value;
    }
}

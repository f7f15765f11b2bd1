package io.figspan.core.id;

/** Names a request; chosen by the caller, so unique only within one organisation. */
public record RequestId(String value) implements Comparable<RequestId> {
    public RequestId {
        Ids.requireName("request id", value);
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

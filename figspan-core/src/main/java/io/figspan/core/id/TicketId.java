package io.figspan.core.id;

/** Names one ticket; made by its owner and never reused. */
public record TicketId(String value) implements Comparable<TicketId> {
    public TicketId {
        Ids.requireName("ticket id", value);
    }

    public static TicketId of(String value) {
        return new TicketId(value);
    }

    @Override
    public int compareTo(TicketId other) {
        return value.compareTo(other.value);
    }

    @Override
    public String toString() {
        return value;
    }
}

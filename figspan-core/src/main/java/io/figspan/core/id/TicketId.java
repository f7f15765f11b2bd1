package io.figspan.core.id;

/** Identifier of a ticket. It is assigned by the owner of the ticket and never reused. */
public record TicketId(String value) implements Comparable<TicketId> {
    public TicketId {
        IdFormat.requireValid("ticket id", value);
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

package io.figspan.core.id;

/** Identifier of an organisation, the unit of entitlement, limits and isolation. */
public record OrganisationId(String value) implements Comparable<OrganisationId> {
    public OrganisationId {
        IdFormat.requireValid("organisation id", value);
    }

    public static OrganisationId of(String value) {
        return new OrganisationId(value);
    }

    @Override
    public int compareTo(OrganisationId other) {
        return value.compareTo(other.value);
    }

    @Override
    public String toString() {
        return value;
    }
}

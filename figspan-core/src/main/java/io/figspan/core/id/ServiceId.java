package io.figspan.core.id;

/** Identifier of a service of an organisation in the settings tree. */
public record ServiceId(String value) implements Comparable<ServiceId> {
    public ServiceId {
        IdFormat.requireValid("service id", value);
    }

    public static ServiceId of(String value) {
        return new ServiceId(value);
    }

    @Override
    public int compareTo(ServiceId other) {
        return value.compareTo(other.value);
    }

    @Override
    public String toString() {
        return value;
    }
}

package io.figspan.core.id;

/** Identifier of a model that engines load. */
public record ModelId(String value) implements Comparable<ModelId> {
    public ModelId {
        IdFormat.requireValid("model id", value);
    }

    public static ModelId of(String value) {
        return new ModelId(value);
    }

    @Override
    public int compareTo(ModelId other) {
        return value.compareTo(other.value);
    }

    @Override
    public String toString() {
        return value;
    }
}

package io.figspan.core.id;

/** Identifier of one part of a prompt. Prompts that share the part carry the same identifier. */
public record PromptPartId(String value) implements Comparable<PromptPartId> {
    public PromptPartId {
        IdFormat.requireValid("prompt part id", value);
    }

    public static PromptPartId of(String value) {
        return new PromptPartId(value);
    }

    @Override
    public int compareTo(PromptPartId other) {
        return value.compareTo(other.value);
    }

    @Override
    public String toString() {
        return value;
    }
}

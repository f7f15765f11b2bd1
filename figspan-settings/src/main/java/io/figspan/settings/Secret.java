package io.figspan.settings;

import java.nio.charset.StandardCharsets;

/** A secret text. {@link #toString()} hides it; only {@link #text()} and {@link #utf8()} give it out. */
public record Secret(String text) {
    /** What is printed in place of a secret. */
    public static final String HIDDEN = "***";

    public static final Secret NONE = new Secret("");

    public boolean isPresent() {
        return !text.isEmpty();
    }

    /** The secret as the bytes of a key. */
    public byte[] utf8() {
        return text.getBytes(StandardCharsets.UTF_8);
    }

    @Override
    public String toString() {
        return isPresent() ? HIDDEN : "";
    }
}

package io.figspan.settings;

import java.nio.charset.StandardCharsets;

/** A secret string. {@link #toString()} redacts it; only {@link #text()} and {@link #utf8()} return it. */
public record Secret(String text) {
    /** Placeholder that {@link #toString()} returns in place of a secret. */
    public static final String HIDDEN = "***";

    public static final Secret NONE = new Secret("");

    public boolean isPresent() {
        return !text.isEmpty();
    }

    /** The secret in UTF-8, for use as a cryptographic key. */
    public byte[] utf8() {
        return text.getBytes(StandardCharsets.UTF_8);
    }

    @Override
    public String toString() {
        return isPresent() ? HIDDEN : "";
    }
}

package io.figspan.settings;

import com.google.common.base.Utf8;
import com.google.common.hash.Hashing;
import java.nio.charset.StandardCharsets;

/** One part of the published tree: a TOML document under a name. */
public record SettingsPart(String name, String text) {
    /** Largest part, in bytes of UTF-8; the configuration service holds no larger value. */
    public static final int MAX_BYTES = 1_000_000;

    public static SettingsPart of(String name, byte[] utf8) {
        return new SettingsPart(name, new String(utf8, StandardCharsets.UTF_8));
    }

    public byte[] utf8() {
        return text.getBytes(StandardCharsets.UTF_8);
    }

    public int sizeBytes() {
        return Utf8.encodedLength(text);
    }

    /** SHA-256 of the UTF-8 bytes in lower-case hexadecimal. */
    public String sha256() {
        return Hashing.sha256().hashString(text, StandardCharsets.UTF_8).toString();
    }

    /** Shows the size rather than the text, which can hold secrets. */
    @Override
    public String toString() {
        return "SettingsPart[" + name + ", " + text.length() + " characters]";
    }
}

package io.figspan.settings;

import com.google.common.base.Utf8;
import com.google.common.hash.Hashing;
import java.nio.charset.StandardCharsets;

/** One part of a published version of the settings: a named TOML document. */
public record SettingsPart(String name, String text) {
    /** Maximum size of a part in UTF-8 bytes; the configuration service stores no larger value. */
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

    /** SHA-256 of the UTF-8 bytes, in lower-case hexadecimal. */
    public String sha256() {
        return Hashing.sha256().hashString(text, StandardCharsets.UTF_8).toString();
    }

    /** Omits the text, which may contain secrets. */
    @Override
    public String toString() {
        return "SettingsPart[" + name + ", " + text.length() + " characters]";
    }
}

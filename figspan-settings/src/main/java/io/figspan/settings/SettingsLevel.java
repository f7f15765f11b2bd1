package io.figspan.settings;

import java.util.Locale;

/** Levels of the settings tree, from the built-in default to the most specific. */
public enum SettingsLevel {
    DEFAULT,
    FLEET,
    ORGANISATION,
    SERVICE,
    PLACE;

    /** The name used in part files and messages. */
    public String wireName() {
        return name().toLowerCase(Locale.ROOT);
    }
}

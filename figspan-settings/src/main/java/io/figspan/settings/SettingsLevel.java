package io.figspan.settings;

import java.util.Locale;

/** Levels of the settings tree, from the built-in defaults to the most specific level. */
public enum SettingsLevel {
    DEFAULT,
    FLEET,
    ORGANISATION,
    SERVICE,
    PLACE;

    /** Name of the level in part files and messages. */
    public String wireName() {
        return name().toLowerCase(Locale.ROOT);
    }
}

package io.figspan.core.event;

import java.util.Locale;

/** Components of figspan, as named in log lines and timeline events. */
public enum Part {
    ENTRY,
    TICKET,
    MEMBER,
    SETTINGS,
    PLACE,
    LIMIT,
    HOLD,
    STEWARD,
    WIRE,
    STANDIN;

    /** Returns the prefix of the log lines of this component, such as {@code [ticket]}. */
    public String logPrefix() {
        return "[" + wireName() + "]";
    }

    public String wireName() {
        return name().toLowerCase(Locale.ROOT);
    }
}

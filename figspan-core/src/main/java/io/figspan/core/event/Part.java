package io.figspan.core.event;

import java.util.Locale;

/** Parts of figspan, as named in log prefixes and on the time line. */
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

    /** Prefix of each log line of this part, such as {@code [ticket]}. */
    public String logPrefix() {
        return "[" + wireName() + "]";
    }

    public String wireName() {
        return name().toLowerCase(Locale.ROOT);
    }
}

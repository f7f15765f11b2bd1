package io.figspan.core.id;

import io.figspan.core.error.FigspanException;
import io.figspan.core.error.Location;
import io.figspan.core.error.ProblemKind;

/** Version of the settings tree. It only increases and also serves as the fencing token of model orders to engines. */
public record SettingsVersion(long number) implements Comparable<SettingsVersion> {
    /** Version of a host that has not adopted any settings yet. */
    public static final SettingsVersion NONE = new SettingsVersion(0);

    public SettingsVersion {
        if (number < 0) {
            throw new FigspanException(
                    ProblemKind.INVALID_VALUE, "settings version is negative", Location.of("settings version"));
        }
    }

    public boolean isNewerThan(SettingsVersion other) {
        return number > other.number;
    }

    @Override
    public int compareTo(SettingsVersion other) {
        return Long.compare(number, other.number);
    }

    @Override
    public String toString() {
        return Long.toString(number);
    }
}

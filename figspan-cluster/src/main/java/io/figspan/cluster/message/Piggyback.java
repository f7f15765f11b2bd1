package io.figspan.cluster.message;

import io.figspan.core.id.BackendIncarnation;
import io.figspan.core.id.SettingsVersion;
import java.util.List;

/** What each membership frame carries besides its own purpose. */
public record Piggyback(SettingsVersion settings, List<MemberUpdate> updates, List<BackendIncarnation> leaving) {
    public static final Piggyback NONE = new Piggyback(SettingsVersion.NONE, List.of(), List.of());

    public Piggyback {
        updates = List.copyOf(updates);
        leaving = List.copyOf(leaving);
    }
}

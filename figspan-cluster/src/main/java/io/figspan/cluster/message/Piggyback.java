package io.figspan.cluster.message;

import io.figspan.core.id.BackendIncarnation;
import io.figspan.core.id.SettingsVersion;
import java.util.List;

/**
 * Gossip that every membership frame carries in addition to its own content.
 *
 * @param settings version in force at the sender
 * @param viewDigest digest of the sender's set of live members; a persistent mismatch triggers an exchange of member
 *     lists
 */
public record Piggyback(
        SettingsVersion settings, int viewDigest, List<MemberUpdate> updates, List<BackendIncarnation> leaving) {
    public static final Piggyback NONE = new Piggyback(SettingsVersion.NONE, 0, List.of(), List.of());

    public Piggyback {
        updates = List.copyOf(updates);
        leaving = List.copyOf(leaving);
    }
}

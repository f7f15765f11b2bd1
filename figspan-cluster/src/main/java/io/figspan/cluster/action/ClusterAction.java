package io.figspan.cluster.action;

import io.figspan.cluster.message.Peer;
import io.figspan.cluster.message.PeerAddress;
import io.figspan.cluster.message.PeerMessage;
import io.figspan.cluster.spread.SettingsContent;
import io.figspan.core.id.BackendIncarnation;
import io.figspan.core.id.HostIncarnation;
import io.figspan.core.id.OrganisationId;
import io.figspan.core.id.SettingsVersion;

/** An action that a protocol requests from its driver. The driver executes a list of actions in order. */
public sealed interface ClusterAction {

    /** Sends a message on the connection to an address. */
    record Send(PeerAddress to, PeerMessage message) implements ClusterAction {}

    /** Sends a message on the connection that the handled message arrived on. */
    record Reply(PeerMessage message) implements ClusterAction {}

    /** A member became live, or died or left. The driver closes its connection to a member that is no longer live. */
    record MemberChanged(Peer peer, boolean live) implements ClusterAction {}

    /** A member was discarded because the member table is full. */
    record MemberTableFull(Peer peer) implements ClusterAction {}

    /** A backend server is leaving. Emitted once per incarnation. */
    record BackendLeaving(BackendIncarnation backend) implements ClusterAction {}

    /** A newer incarnation of this host is running; this process must stop serving. */
    record Superseded(HostIncarnation newer) implements ClusterAction {}

    /** Starts or stops watching the configuration service. */
    record WatchConfigurationService(boolean watch) implements ClusterAction {}

    /** Reads the settings once from the configuration service, because no peer supplied a version in time. */
    record ReadConfigurationService() implements ClusterAction {}

    /** Validates a complete version, puts it in force if it is valid, and reports the result. */
    record AdoptSettings(SettingsContent content) implements ClusterAction {}

    /** A version could not be assembled from a peer's messages; the version in force is unchanged. */
    record SettingsPullFailed(SettingsVersion version, String reason) implements ClusterAction {}

    /**
     * The net rate of all loans of an organisation's limit changed: from {@code atNanos} it raises (positive) or lowers
     * (negative) this host's own share. The driver applies the changes in order and as of these times, even when late.
     */
    record NetLoanRateChanged(OrganisationId organisation, long tokensPerSecond, long atNanos)
            implements ClusterAction {}
}

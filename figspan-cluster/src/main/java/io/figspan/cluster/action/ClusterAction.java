package io.figspan.cluster.action;

import io.figspan.cluster.message.Peer;
import io.figspan.cluster.message.PeerAddress;
import io.figspan.cluster.message.PeerMessage;
import io.figspan.cluster.spread.SettingsContent;
import io.figspan.core.id.BackendIncarnation;
import io.figspan.core.id.HostIncarnation;
import io.figspan.core.id.OrganisationId;
import io.figspan.core.id.SettingsVersion;

/** One thing that a protocol asks its driver to do. Actions are carried out in the order of the list. */
public sealed interface ClusterAction {

    /** Sends a message on the connection to an address. */
    record Send(PeerAddress to, PeerMessage message) implements ClusterAction {}

    /** Sends a message back on the connection that the received message came from. */
    record Reply(PeerMessage message) implements ClusterAction {}

    /** The view of a member changed. A driver closes its connection to a process that is gone. */
    record MemberChanged(Peer peer, boolean live) implements ClusterAction {}

    /** A member was not taken into the full table. */
    record MemberTableFull(Peer peer) implements ClusterAction {}

    /** A backend server is leaving; told once for each incarnation. */
    record BackendLeaving(BackendIncarnation backend) implements ClusterAction {}

    /** A process with a higher incarnation number has this seat; this process must stop serving. */
    record Superseded(HostIncarnation newer) implements ClusterAction {}

    /** Starts or stops watching the configuration service. */
    record WatchConfigurationService(boolean watch) implements ClusterAction {}

    /** Reads the configuration service once, because no peer had a version in time. */
    record ReadConfigurationService() implements ClusterAction {}

    /** Validates a whole version and reports whether it is in force now. */
    record AdoptSettings(SettingsContent content) implements ClusterAction {}

    /** A version could not be assembled from what a peer sent; the version in force stays. */
    record SettingsPullFailed(SettingsVersion version, String reason) implements ClusterAction {}

    /**
     * Loans add this rate to the own share of an organisation (positive) or take it away (negative) from the given
     * time on. The driver applies the changes in order and with their times, also when it learns of them late.
     */
    record NetLoanRateChanged(OrganisationId organisation, long tokensPerSecond, long atNanos) implements ClusterAction {}
}

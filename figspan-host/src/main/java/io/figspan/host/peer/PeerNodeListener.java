package io.figspan.host.peer;

import io.figspan.cluster.message.Peer;
import io.figspan.core.id.BackendIncarnation;
import io.figspan.core.id.HostIncarnation;
import io.figspan.core.id.OrganisationId;

/** Told what the protocols between hosts found out. Called on the node's event loop, so it must not block. */
public interface PeerNodeListener {
    /** A member became live or is gone; {@link PeerNode#view()} has changed already. */
    default void memberChanged(Peer peer, boolean live) {}

    /** A backend server is leaving; told once for each incarnation. */
    default void backendLeaving(BackendIncarnation backend) {}

    /**
     * Another process has taken over this seat, so this one must stop serving. A process that starts with an
     * incarnation number below a former one at its seat is told the same.
     */
    default void superseded(HostIncarnation newer) {}

    /** Loans add this rate to the organisation's own share, or take it away, from the given time on. */
    default void allowanceChanged(OrganisationId organisation, long tokensPerSecond, long atNanos) {}
}

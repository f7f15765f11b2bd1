package io.figspan.gateway.peer;

import io.figspan.cluster.message.PeerMessage;
import io.figspan.core.id.HostId;
import io.figspan.core.work.PlacedRequest;
import java.util.List;
import java.util.Set;

/** Provides this host's work for the reports to other hosts. */
public interface WorkReportSource {
    /** All work that this host has at model engines now. */
    PeerMessage.WorkReport report();

    /** The hosts that share model engines with this one; they exchange reports with it. */
    Set<HostId> cell();

    /**
     * The hosts that place requests at the engines of the work: the cell, and others if some work is outside the cell.
     */
    Set<HostId> reportRecipients(List<PlacedRequest> work);
}

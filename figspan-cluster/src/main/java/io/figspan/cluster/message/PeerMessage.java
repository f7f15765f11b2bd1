package io.figspan.cluster.message;

import io.figspan.core.id.BackendIncarnation;
import io.figspan.core.id.HostId;
import io.figspan.core.id.HostIncarnation;
import io.figspan.core.id.OrganisationId;
import io.figspan.core.id.SettingsVersion;
import io.figspan.core.work.PlacedRequest;
import java.util.List;

/** A message between two hosts. The frame around it names the sender and carries a hybrid timestamp. */
public sealed interface PeerMessage {

    // Membership

    /** Asks the receiver to answer with an {@link Ack} of the same probe number. */
    record Ping(long probe, Piggyback piggyback) implements PeerMessage {}

    /** Answers a ping, or a ping request after the helper's own probe succeeded or failed. */
    record Ack(long probe, boolean reached, Piggyback piggyback) implements PeerMessage {}

    /** Asks the receiver to probe {@code target} and to answer with an {@link Ack} of this probe number. */
    record PingRequest(long probe, HostIncarnation target, Piggyback piggyback) implements PeerMessage {}

    /** Asks for the members whose host ids come after {@code after}; an empty text asks from the start. */
    record MembersPull(String after) implements PeerMessage {
        public MembersPull {
            if (!after.isEmpty()) {
                HostId.of(after);
            }
        }
    }

    /** One page of the sender's live members in the order of their host ids. */
    record MembersPage(List<MemberUpdate> updates, boolean more) implements PeerMessage {
        public MembersPage {
            updates = List.copyOf(updates);
        }
    }

    /** Tells at once about backend servers that are leaving, without waiting for the next probe. */
    record LeavingNotice(List<BackendIncarnation> leaving) implements PeerMessage {
        public LeavingNotice {
            leaving = List.copyOf(leaving);
        }
    }

    // Settings

    /** Tells the version in force at the sender. A receiver with a higher one answers with its own offer. */
    record SettingsOffer(SettingsVersion version) implements PeerMessage {}

    /** Asks for what changed from {@code have} to the receiver's version, or for everything from version 0. */
    record SettingsPull(SettingsVersion have) implements PeerMessage {}

    /**
     * Start of the answer to a pull: the parts that changed or went, relative to {@code base}. The first
     * {@code inlineParts} of them follow unasked; the others are to be asked for one by one.
     */
    record SettingsManifest(
            SettingsVersion version,
            SettingsVersion base,
            int inlineParts,
            List<PartDigest> changed,
            List<String> removed)
            implements PeerMessage {
        public SettingsManifest {
            changed = List.copyOf(changed);
            removed = List.copyOf(removed);
        }
    }

    /** Asks for one part of the version, as a delta against {@code base} if the receiver has that. */
    record SettingsPartPull(SettingsVersion version, String name, Bytes base) implements PeerMessage {}

    /** One changed part of a version. */
    record SettingsPart(SettingsVersion version, PartChange change) implements PeerMessage {}

    // Limits

    /** Asks a home host of the organisation for a part of its unused share. */
    record LoanRequest(long requestId, OrganisationId organisation, long tokensPerSecond) implements PeerMessage {}

    /**
     * Lends a part of the sender's share; 0 refuses. The borrower may use it until {@code leaseMs} after it sent the
     * request, on its own clock.
     */
    record LoanGrant(long requestId, OrganisationId organisation, long tokensPerSecond, long leaseMs)
            implements PeerMessage {}

    // Placement

    /**
     * All that the sender has at model engines, so that others place around it. A report replaces those before it.
     *
     * @param sequence grows with each report of a process
     * @param settingsRevision newest revision of the settings that the sender knows, in the store's counting
     * @param serversRevision newest revision among the entries of backend servers that the sender knows
     * @param storeAgeMs time since the store last answered the sender; negative when the sender does not follow it, or
     *     does not reach it
     */
    record WorkReport(
            long sequence, long settingsRevision, long serversRevision, long storeAgeMs, List<PlacedRequest> work)
            implements PeerMessage {
        public WorkReport {
            work = List.copyOf(work);
        }
    }

    // Orders; their fields are opaque here

    /** Forwards an order to the owner of its ticket, with the time left in milliseconds. */
    record ForwardOrder(
            long correlationId, String ticket, String organisation, String requestId, long leftMs, Bytes body)
            implements PeerMessage {}

    /** Asks the owner of a ticket for the outcome. */
    record OutcomeQuery(long correlationId, String ticket, String organisation) implements PeerMessage {}

    /** Answers {@link ForwardOrder} and {@link OutcomeQuery}. */
    record OrderOutcome(long correlationId, int httpStatus, String contentType, Bytes body) implements PeerMessage {}
}

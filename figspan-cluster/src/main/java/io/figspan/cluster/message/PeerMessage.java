package io.figspan.cluster.message;

import io.figspan.core.id.BackendIncarnation;
import io.figspan.core.id.HostId;
import io.figspan.core.id.HostIncarnation;
import io.figspan.core.id.OrganisationId;
import io.figspan.core.id.SettingsVersion;
import io.figspan.core.id.StoreRevision;
import io.figspan.core.work.PlacedRequest;
import java.util.List;

/** A message between two hosts. The frame around it names the sender and carries a hybrid timestamp. */
public sealed interface PeerMessage {

    // Membership

    /** Probes the receiver, which answers with an {@link Ack} of the same probe number. */
    record Ping(long probe, Piggyback piggyback) implements PeerMessage {}

    /** Answers a ping, or answers a ping request with the result of the helper's probe. */
    record Ack(long probe, boolean reached, Piggyback piggyback) implements PeerMessage {}

    /** Requests an indirect probe of {@code target}, answered with an {@link Ack} of the same probe number. */
    record PingRequest(long probe, HostIncarnation target, Piggyback piggyback) implements PeerMessage {}

    /** Requests the live members whose host ids sort after {@code after}; empty for the first page. */
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

    /** Announces leaving backend servers at once, without waiting for the next probe. */
    record LeavingNotice(List<BackendIncarnation> leaving) implements PeerMessage {
        public LeavingNotice {
            leaving = List.copyOf(leaving);
        }
    }

    // Settings

    /** Announces the version in force at the sender. A receiver with a newer one answers with its own offer. */
    record SettingsOffer(SettingsVersion version) implements PeerMessage {}

    /** Requests the changes from {@code have} to the receiver's version; version 0 requests all parts. */
    record SettingsPull(SettingsVersion have) implements PeerMessage {}

    /**
     * First answer to a pull: the parts that were changed or removed relative to {@code base}. The first
     * {@code inlineParts} of the changed parts follow without a request; the others must be requested one by one.
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

    /**
     * Requests one chunk of a part of the version, as a delta against {@code base} if the receiver has it. Answered
     * with a {@link SettingsPart}, or with {@link SettingsBusy} if the receiver serves other hosts.
     *
     * @param offsetBytes position of the chunk in the encoded part
     * @param lastPart whether the sender needs no further part of the version
     */
    record SettingsPartPull(SettingsVersion version, String name, Bytes base, int offsetBytes, boolean lastPart)
            implements PeerMessage {}

    /**
     * One chunk of a changed part of a version.
     *
     * @param change the encoded part, with the content of this chunk
     * @param offsetBytes position of the chunk in the encoded part
     * @param encodedBytes size of the whole encoded part
     */
    record SettingsPart(SettingsVersion version, PartChange change, int offsetBytes, int encodedBytes)
            implements PeerMessage {

        /** The only chunk of a part. */
        public SettingsPart(SettingsVersion version, PartChange change) {
            this(version, change, 0, change.content().size());
        }
    }

    /** Answers a {@link SettingsPartPull} while as many hosts as allowed read parts from the sender. */
    record SettingsBusy(SettingsVersion version) implements PeerMessage {}

    // Limits

    /** Requests a loan from a home host's unused share of the organisation's limit. */
    record LoanRequest(long requestId, OrganisationId organisation, long tokensPerSecond) implements PeerMessage {}

    /**
     * Lends a part of the sender's share; 0 denies the request. The lease ends {@code leaseMs} after the borrower sent
     * the request, by the borrower's clock.
     */
    record LoanGrant(long requestId, OrganisationId organisation, long tokensPerSecond, long leaseMs)
            implements PeerMessage {}

    // Placement

    /**
     * All work that the sender has at model engines, for the placement decisions of other hosts. A report replaces the
     * sender's earlier ones.
     *
     * @param sequence increases with each report of a process
     * @param settingsRevision newest store revision of the settings that the sender knows
     * @param serversRevision newest store revision among the backend server entries that the sender knows
     * @param storeAgeMs time since the store last answered the sender; negative when the sender does not follow the
     *     store or cannot reach it
     */
    record WorkReport(
            long sequence,
            StoreRevision settingsRevision,
            StoreRevision serversRevision,
            long storeAgeMs,
            List<PlacedRequest> work)
            implements PeerMessage {
        public WorkReport {
            work = List.copyOf(work);
        }
    }

    /** What the sender knows of requests and prompt parts that crash backend servers. Merged by the receiver. */
    record CrashEvidence(List<SuspectEvidence> suspects) implements PeerMessage {
        public CrashEvidence {
            suspects = List.copyOf(suspects);
        }
    }

    /** The limits of backend servers, and how much of them the sender has used. Merged by the receiver. */
    record ServerLimitUses(List<ServerLimitUse> uses) implements PeerMessage {
        public ServerLimitUses {
            uses = List.copyOf(uses);
        }
    }

    /**
     * Cold backend servers, and how many requests the sender has sent to each. Merged by the receiver.
     *
     * @param receivesFromReceiver whether the sender has received a message of the receiver lately
     */
    record ColdServerUses(boolean receivesFromReceiver, List<ColdServerUse> uses) implements PeerMessage {
        public ColdServerUses {
            uses = List.copyOf(uses);
        }
    }

    // Orders, whose fields are not interpreted in this module

    /** Forwards an order to the owner of its ticket, with the time left in milliseconds. */
    record ForwardOrder(
            long correlationId, String ticket, String organisation, String requestId, long leftMs, Bytes body)
            implements PeerMessage {}

    /** Requests the outcome of an order from the owner of its ticket. */
    record OutcomeQuery(long correlationId, String ticket, String organisation) implements PeerMessage {}

    /** Answers {@link ForwardOrder} and {@link OutcomeQuery}. */
    record OrderOutcome(long correlationId, int httpStatus, String contentType, Bytes body) implements PeerMessage {}
}

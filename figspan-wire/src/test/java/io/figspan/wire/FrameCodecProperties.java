package io.figspan.wire;

import static org.junit.jupiter.api.Assertions.assertEquals;

import io.figspan.cluster.message.Bytes;
import io.figspan.cluster.message.ColdServerUse;
import io.figspan.cluster.message.MemberUpdate;
import io.figspan.cluster.message.PartChange;
import io.figspan.cluster.message.PartDigest;
import io.figspan.cluster.message.Peer;
import io.figspan.cluster.message.PeerAddress;
import io.figspan.cluster.message.PeerMessage;
import io.figspan.cluster.message.Piggyback;
import io.figspan.cluster.message.ServerLimitUse;
import io.figspan.cluster.message.SuspectEvidence;
import io.figspan.cluster.message.SuspectId;
import io.figspan.core.error.FigspanException;
import io.figspan.core.error.ProblemKind;
import io.figspan.core.id.AvailabilityZoneId;
import io.figspan.core.id.BackendIncarnation;
import io.figspan.core.id.BackendServerId;
import io.figspan.core.id.HostId;
import io.figspan.core.id.HostIncarnation;
import io.figspan.core.id.OrganisationId;
import io.figspan.core.id.PromptPartId;
import io.figspan.core.id.RequestFingerprint;
import io.figspan.core.id.SettingsVersion;
import io.figspan.core.id.StoreRevision;
import io.figspan.core.time.HybridTimestamp;
import io.figspan.core.work.PlacedRequest;
import io.figspan.core.work.PrefillReader;
import java.util.List;
import java.util.Optional;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;
import org.junit.jupiter.api.Test;

/** Guards against messages that differ after a round trip and against bytes that make decoding fail unexpectedly. */
class FrameCodecProperties {
    private static final HostIncarnation HOST = new HostIncarnation(HostId.of("host-17"), 1_790_000_000_123L);
    private static final Bytes SAMPLE_BYTES = Bytes.wrap(new byte[] {1, 2, 3});
    private static final SettingsVersion VERSION_9 = new SettingsVersion(9);
    private static final Piggyback PIGGYBACK = new Piggyback(
            VERSION_9,
            -77,
            List.of(
                    new MemberUpdate.Alive(
                            new Peer(HOST, AvailabilityZoneId.of("az-b"), new PeerAddress("127.0.0.1", 65_535)), 3),
                    new MemberUpdate.Suspect(HOST, 4, HostId.of("host-3")),
                    new MemberUpdate.Gone(HOST, 5, true),
                    new MemberUpdate.Gone(HOST, 5, false)),
            List.of(new BackendIncarnation(BackendServerId.of("engine-1"), 2)));
    private static final List<PeerMessage> ONE_OF_EACH = List.of(
            new PeerMessage.Ping(1, PIGGYBACK),
            new PeerMessage.Ack(1, true, PIGGYBACK),
            new PeerMessage.PingRequest(2, HOST, Piggyback.NONE),
            new PeerMessage.MembersPull("host-2"),
            new PeerMessage.MembersPage(PIGGYBACK.updates(), true),
            new PeerMessage.LeavingNotice(PIGGYBACK.leaving()),
            new PeerMessage.SettingsOffer(VERSION_9),
            new PeerMessage.SettingsPull(VERSION_9),
            new PeerMessage.SettingsManifest(
                    VERSION_9, VERSION_9, 1, List.of(new PartDigest("fleet", SAMPLE_BYTES)), List.of("gone")),
            new PeerMessage.SettingsPartPull(VERSION_9, "fleet", SAMPLE_BYTES, 65_536, true),
            new PeerMessage.SettingsPart(
                    VERSION_9, new PartChange("fleet", SAMPLE_BYTES, Bytes.EMPTY, SAMPLE_BYTES), 65_536, 65_539),
            new PeerMessage.SettingsBusy(VERSION_9),
            new PeerMessage.LoanRequest(3, OrganisationId.of("org"), 500),
            new PeerMessage.LoanGrant(3, OrganisationId.of("org"), 500, 2_000),
            new PeerMessage.ForwardOrder(4, "ticket", "org", "request", 1_500, SAMPLE_BYTES),
            new PeerMessage.OutcomeQuery(5, "ticket", "org"),
            new PeerMessage.OrderOutcome(5, 200, "application/json", SAMPLE_BYTES),
            new PeerMessage.WorkReport(
                    6,
                    new StoreRevision(1, 410),
                    new StoreRevision(2, 512),
                    30,
                    List.of(placedWork("engine-1"), placedWork("engine-2"))),
            new PeerMessage.CrashEvidence(List.of(
                    new SuspectEvidence(
                            List.of(
                                    new SuspectId.OfPart(PromptPartId.of("91bd3f06")),
                                    new SuspectId.OfPart(PromptPartId.of("5c1e07a2"))),
                            true,
                            4_200,
                            PIGGYBACK.leaving(),
                            PIGGYBACK.leaving(),
                            List.of(fingerprint(Optional.empty()))),
                    new SuspectEvidence(
                            List.of(new SuspectId.OfRequest(fingerprint(Optional.of(OrganisationId.of("org-1"))))),
                            false,
                            300,
                            PIGGYBACK.leaving(),
                            List.of(),
                            List.of()))),
            new PeerMessage.ServerLimitUses(
                    List.of(new ServerLimitUse(PIGGYBACK.leaving().get(0), true, 1.3, 250, 17))),
            new PeerMessage.ColdServerUses(
                    true, List.of(new ColdServerUse(PIGGYBACK.leaving().get(0), 2_900, 120, 17))));

    private static RequestFingerprint fingerprint(Optional<OrganisationId> organisation) {
        return RequestFingerprint.of(organisation, "POST", "/a?b");
    }

    private static PlacedRequest placedWork(String server) {
        List<PrefillReader> readers = List.of(
                new PrefillReader(BackendServerId.of("engine-2"), 90_000),
                new PrefillReader(BackendServerId.of("engine-3"), 0));
        return new PlacedRequest(7, BackendServerId.of(server), readers, 154_000, 800, 51, 1_200, -40, 1_000);
    }

    @Test
    void aDatagramRoundTripKeepsSenderAndMessage() {
        Peer sender = new Peer(HOST, AvailabilityZoneId.of("az-b"), new PeerAddress("127.0.0.1", 7_340));
        for (PeerMessage message : ONE_OF_EACH) {
            DatagramCodec.Received received = DatagramCodec.decode(DatagramCodec.encode(sender, message));
            assertEquals(sender, received.from());
            assertEquals(message, received.message());
        }
    }

    @Property(seed = "13")
    void randomDatagramsAreDecodedOrRefused(@ForAll @Size(min = 1, max = 200) byte[] datagram) {
        try {
            DatagramCodec.decode(datagram);
        } catch (FigspanException refusal) {
            assertEquals(ProblemKind.FRAME_REFUSED, refusal.kind());
        }
    }

    @Test
    void eachKindOfMessageSurvivesARoundTrip() {
        assertEquals(MessageKind.values().length, ONE_OF_EACH.size());
        HybridTimestamp timestamp = new HybridTimestamp(1_790_000_000_500L, 12);
        for (PeerMessage message : ONE_OF_EACH) {
            FrameCodec.Decoded decoded = FrameCodec.decode(FrameCodec.encode(message, timestamp));
            assertEquals(message, decoded.message());
            assertEquals(timestamp, decoded.timestamp());
        }
    }

    @Property(seed = "11")
    void randomBytesAreDecodedOrRefused(@ForAll @Size(min = 1, max = 200) byte[] body) {
        decodeOrRefuse(body);
    }

    @Property(seed = "12")
    void messagesWithAChangedByteAreDecodedOrRefused(
            @ForAll @IntRange(max = 19) int kind, @ForAll @IntRange(max = 400) int position, @ForAll byte value) {
        byte[] body = FrameCodec.encode(ONE_OF_EACH.get(kind), HybridTimestamp.ZERO);
        body[position % body.length] = value;
        decodeOrRefuse(body);
    }

    private static void decodeOrRefuse(byte[] body) {
        try {
            FrameCodec.decode(body);
        } catch (FigspanException refusal) {
            assertEquals(ProblemKind.FRAME_REFUSED, refusal.kind());
        }
    }
}

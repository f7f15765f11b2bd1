package io.figspan.wire;

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
import io.figspan.core.work.PlacedRequest;
import io.figspan.core.work.PrefillReader;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.msgpack.core.MessageUnpacker;

/** Decodes messages as {@link MessageWriter} encodes them. Each length is checked before memory is allocated for it. */
final class MessageReader {
    private final MessageUnpacker unpacker;
    private final int bodyBytes;

    MessageReader(MessageUnpacker unpacker, int bodyBytes) {
        this.unpacker = unpacker;
        this.bodyBytes = bodyBytes;
    }

    PeerMessage read(MessageKind kind) throws IOException {
        return switch (kind) {
            case PING -> new PeerMessage.Ping(unpacker.unpackLong(), readPiggyback());
            case ACK -> new PeerMessage.Ack(unpacker.unpackLong(), unpacker.unpackBoolean(), readPiggyback());
            case PING_REQUEST -> new PeerMessage.PingRequest(unpacker.unpackLong(), readIncarnation(), readPiggyback());
            case MEMBERS_PULL -> new PeerMessage.MembersPull(readString());
            case MEMBERS_PAGE -> new PeerMessage.MembersPage(readUpdates(), unpacker.unpackBoolean());
            case LEAVING_NOTICE -> new PeerMessage.LeavingNotice(readIncarnations());
            case SETTINGS_OFFER -> new PeerMessage.SettingsOffer(readVersion());
            case SETTINGS_PULL -> new PeerMessage.SettingsPull(readVersion());
            case SETTINGS_MANIFEST ->
                new PeerMessage.SettingsManifest(
                        readVersion(), readVersion(), unpacker.unpackInt(), readDigests(), readNames());
            case SETTINGS_PART ->
                new PeerMessage.SettingsPart(
                        readVersion(),
                        new PartChange(readString(), readBytes(), readBytes(), readBytes()),
                        unpacker.unpackInt(),
                        unpacker.unpackInt());
            case SETTINGS_PART_PULL ->
                new PeerMessage.SettingsPartPull(
                        readVersion(), readString(), readBytes(), unpacker.unpackInt(), unpacker.unpackBoolean());
            case SETTINGS_BUSY -> new PeerMessage.SettingsBusy(readVersion());
            case LOAN_REQUEST ->
                new PeerMessage.LoanRequest(
                        unpacker.unpackLong(), OrganisationId.of(readString()), unpacker.unpackLong());
            case LOAN_GRANT ->
                new PeerMessage.LoanGrant(
                        unpacker.unpackLong(),
                        OrganisationId.of(readString()),
                        unpacker.unpackLong(),
                        unpacker.unpackLong());
            case WORK_REPORT -> readWorkReport();
            case CRASH_EVIDENCE -> new PeerMessage.CrashEvidence(readEvidence());
            case SERVER_LIMIT_USES -> new PeerMessage.ServerLimitUses(readLimitUses());
            case COLD_SERVER_USES -> new PeerMessage.ColdServerUses(unpacker.unpackBoolean(), readColdUses());
            case FORWARD_ORDER ->
                new PeerMessage.ForwardOrder(
                        unpacker.unpackLong(),
                        readString(),
                        readString(),
                        readString(),
                        unpacker.unpackLong(),
                        readBytes());
            case OUTCOME_QUERY -> new PeerMessage.OutcomeQuery(unpacker.unpackLong(), readString(), readString());
            case ORDER_OUTCOME ->
                new PeerMessage.OrderOutcome(unpacker.unpackLong(), unpacker.unpackInt(), readString(), readBytes());
        };
    }

    private StoreRevision readRevision() throws IOException {
        long epoch = unpacker.unpackLong();
        return new StoreRevision(epoch, unpacker.unpackLong());
    }

    private PeerMessage.WorkReport readWorkReport() throws IOException {
        long sequence = unpacker.unpackLong();
        StoreRevision settingsRevision = readRevision();
        StoreRevision serversRevision = readRevision();
        long storeAgeMs = unpacker.unpackLong();
        List<BackendServerId> servers = new ArrayList<>();
        int serverCount = readCount();
        for (int i = 0; i < serverCount; i++) {
            servers.add(BackendServerId.of(readString()));
        }
        List<PlacedRequest> work = new ArrayList<>();
        int workCount = readCount();
        for (int i = 0; i < workCount; i++) {
            work.add(readWork(servers));
        }
        return new PeerMessage.WorkReport(sequence, settingsRevision, serversRevision, storeAgeMs, work);
    }

    private PlacedRequest readWork(List<BackendServerId> servers) throws IOException {
        long id = unpacker.unpackLong();
        BackendServerId server = readServer(servers);
        List<PrefillReader> readers = new ArrayList<>();
        int readerCount = readCount();
        for (int i = 0; i < readerCount; i++) {
            readers.add(new PrefillReader(readServer(servers), unpacker.unpackLong()));
        }
        return new PlacedRequest(
                id,
                server,
                readers,
                unpacker.unpackLong(),
                unpacker.unpackLong(),
                unpacker.unpackLong(),
                unpacker.unpackLong(),
                unpacker.unpackLong(),
                unpacker.unpackLong());
    }

    private List<SuspectEvidence> readEvidence() throws IOException {
        int count = readCount();
        List<SuspectEvidence> suspects = new ArrayList<>(count);
        for (int i = 0; i < count; i++) {
            suspects.add(new SuspectEvidence(
                    readSuspects(),
                    unpacker.unpackBoolean(),
                    unpacker.unpackLong(),
                    readIncarnations(),
                    readIncarnations(),
                    readFingerprints()));
        }
        return suspects;
    }

    private List<SuspectId> readSuspects() throws IOException {
        int count = readCount();
        List<SuspectId> suspects = new ArrayList<>(count);
        for (int i = 0; i < count; i++) {
            suspects.add(readSuspect());
        }
        return suspects;
    }

    private SuspectId readSuspect() throws IOException {
        int kind = unpacker.unpackInt();
        return switch (kind) {
            case MessageWriter.SUSPECT_PART -> new SuspectId.OfPart(PromptPartId.of(readString()));
            case MessageWriter.SUSPECT_REQUEST -> new SuspectId.OfRequest(readFingerprint());
            default -> throw new IOException("unknown kind of suspect " + kind);
        };
    }

    private List<RequestFingerprint> readFingerprints() throws IOException {
        int count = readCount();
        List<RequestFingerprint> fingerprints = new ArrayList<>(count);
        for (int i = 0; i < count; i++) {
            fingerprints.add(readFingerprint());
        }
        return fingerprints;
    }

    private RequestFingerprint readFingerprint() throws IOException {
        String organisation = readString();
        return new RequestFingerprint(
                organisation.isEmpty() ? Optional.empty() : Optional.of(OrganisationId.of(organisation)), readString());
    }

    private List<ServerLimitUse> readLimitUses() throws IOException {
        int count = readCount();
        List<ServerLimitUse> uses = new ArrayList<>(count);
        for (int i = 0; i < count; i++) {
            uses.add(new ServerLimitUse(
                    new BackendIncarnation(BackendServerId.of(readString()), unpacker.unpackLong()),
                    unpacker.unpackBoolean(),
                    unpacker.unpackDouble(),
                    unpacker.unpackLong(),
                    unpacker.unpackLong()));
        }
        return uses;
    }

    private List<ColdServerUse> readColdUses() throws IOException {
        int count = readCount();
        List<ColdServerUse> uses = new ArrayList<>(count);
        for (int i = 0; i < count; i++) {
            uses.add(new ColdServerUse(
                    new BackendIncarnation(BackendServerId.of(readString()), unpacker.unpackLong()),
                    unpacker.unpackLong(),
                    unpacker.unpackLong(),
                    unpacker.unpackLong()));
        }
        return uses;
    }

    private BackendServerId readServer(List<BackendServerId> servers) throws IOException {
        int index = unpacker.unpackInt();
        if (index < 0 || index >= servers.size()) {
            throw new IOException("place " + index + " is out of range for a table of " + servers.size() + " servers");
        }
        return servers.get(index);
    }

    private Piggyback readPiggyback() throws IOException {
        return new Piggyback(readVersion(), unpacker.unpackInt(), readUpdates(), readIncarnations());
    }

    private SettingsVersion readVersion() throws IOException {
        return new SettingsVersion(unpacker.unpackLong());
    }

    private List<MemberUpdate> readUpdates() throws IOException {
        int count = readCount();
        List<MemberUpdate> updates = new ArrayList<>(count);
        for (int i = 0; i < count; i++) {
            updates.add(readUpdate());
        }
        return updates;
    }

    private MemberUpdate readUpdate() throws IOException {
        int state = unpacker.unpackInt();
        int refutation = unpacker.unpackInt();
        return switch (state) {
            case MessageWriter.UPDATE_ALIVE -> new MemberUpdate.Alive(readPeer(), refutation);
            case MessageWriter.UPDATE_SUSPECT ->
                new MemberUpdate.Suspect(readIncarnation(), refutation, HostId.of(readString()));
            case MessageWriter.UPDATE_DEAD -> new MemberUpdate.Gone(readIncarnation(), refutation, false);
            case MessageWriter.UPDATE_LEFT -> new MemberUpdate.Gone(readIncarnation(), refutation, true);
            default -> throw new IOException("unknown member state " + state);
        };
    }

    private List<BackendIncarnation> readIncarnations() throws IOException {
        int count = readCount();
        List<BackendIncarnation> servers = new ArrayList<>(count);
        for (int i = 0; i < count; i++) {
            servers.add(new BackendIncarnation(BackendServerId.of(readString()), unpacker.unpackLong()));
        }
        return servers;
    }

    private List<PartDigest> readDigests() throws IOException {
        int count = readCount();
        List<PartDigest> digests = new ArrayList<>(count);
        for (int i = 0; i < count; i++) {
            digests.add(new PartDigest(readString(), readBytes()));
        }
        return digests;
    }

    private List<String> readNames() throws IOException {
        int count = readCount();
        List<String> names = new ArrayList<>(count);
        for (int i = 0; i < count; i++) {
            names.add(readString());
        }
        return names;
    }

    Peer readPeer() throws IOException {
        return new Peer(
                readIncarnation(),
                AvailabilityZoneId.of(readString()),
                new PeerAddress(readString(), unpacker.unpackInt()));
    }

    private HostIncarnation readIncarnation() throws IOException {
        return new HostIncarnation(HostId.of(readString()), unpacker.unpackLong());
    }

    private String readString() throws IOException {
        int length = requireRemaining(unpacker.unpackRawStringHeader());
        return new String(unpacker.readPayload(length), StandardCharsets.UTF_8);
    }

    Bytes readBytes() throws IOException {
        int length = requireRemaining(unpacker.unpackBinaryHeader());
        return Bytes.wrap(unpacker.readPayload(length));
    }

    private int readCount() throws IOException {
        return requireRemaining(unpacker.unpackArrayHeader());
    }

    private int requireRemaining(int length) throws IOException {
        if (length > bodyBytes - unpacker.getTotalReadBytes()) {
            throw new IOException("length of " + length + " exceeds the remaining bytes of the message");
        }
        return length;
    }
}

package io.figspan.wire;

import io.figspan.cluster.message.Bytes;
import io.figspan.cluster.message.ColdServerUse;
import io.figspan.cluster.message.MemberUpdate;
import io.figspan.cluster.message.PartChange;
import io.figspan.cluster.message.PartDigest;
import io.figspan.cluster.message.Peer;
import io.figspan.cluster.message.PeerMessage;
import io.figspan.cluster.message.Piggyback;
import io.figspan.cluster.message.ServerLimitUse;
import io.figspan.cluster.message.SuspectEvidence;
import io.figspan.cluster.message.SuspectId;
import io.figspan.core.id.BackendIncarnation;
import io.figspan.core.id.BackendServerId;
import io.figspan.core.id.HostIncarnation;
import io.figspan.core.id.OrganisationId;
import io.figspan.core.id.RequestFingerprint;
import io.figspan.core.id.StoreRevision;
import io.figspan.core.work.PlacedRequest;
import io.figspan.core.work.PrefillReader;
import java.io.IOException;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.msgpack.core.MessagePacker;

/** Encodes messages; the fields are written in the order of the record components. */
final class MessageWriter {
    static final int UPDATE_ALIVE = 0;
    static final int UPDATE_SUSPECT = 1;
    static final int UPDATE_DEAD = 2;
    static final int UPDATE_LEFT = 3;
    static final int SUSPECT_PART = 0;
    static final int SUSPECT_REQUEST = 1;

    private final MessagePacker packer;

    MessageWriter(MessagePacker packer) {
        this.packer = packer;
    }

    void write(PeerMessage message) throws IOException {
        switch (MessageKind.of(message)) {
            case PING, ACK, PING_REQUEST, MEMBERS_PULL, MEMBERS_PAGE, LEAVING_NOTICE -> writeMembership(message);
            case SETTINGS_OFFER, SETTINGS_PULL, SETTINGS_MANIFEST, SETTINGS_PART, SETTINGS_PART_PULL, SETTINGS_BUSY ->
                writeSettings(message);
            case LOAN_REQUEST, LOAN_GRANT -> writeLoan(message);
            case WORK_REPORT -> writeWork((PeerMessage.WorkReport) message);
            case CRASH_EVIDENCE -> writeEvidence((PeerMessage.CrashEvidence) message);
            case SERVER_LIMIT_USES -> writeLimitUses((PeerMessage.ServerLimitUses) message);
            case COLD_SERVER_USES -> writeColdUses((PeerMessage.ColdServerUses) message);
            case FORWARD_ORDER, OUTCOME_QUERY, ORDER_OUTCOME -> writeOrder(message);
            default -> throw new IOException("message kind has no encoding: " + message.getClass());
        }
    }

    private void writeMembership(PeerMessage message) throws IOException {
        if (message instanceof PeerMessage.Ping ping) {
            packer.packLong(ping.probe());
            writePiggyback(ping.piggyback());
        } else if (message instanceof PeerMessage.Ack ack) {
            packer.packLong(ack.probe());
            packer.packBoolean(ack.reached());
            writePiggyback(ack.piggyback());
        } else if (message instanceof PeerMessage.PingRequest request) {
            packer.packLong(request.probe());
            writeIncarnation(request.target());
            writePiggyback(request.piggyback());
        } else if (message instanceof PeerMessage.MembersPull pull) {
            packer.packString(pull.after());
        } else if (message instanceof PeerMessage.MembersPage page) {
            writeUpdates(page.updates());
            packer.packBoolean(page.more());
        } else if (message instanceof PeerMessage.LeavingNotice notice) {
            writeIncarnations(notice.leaving());
        }
    }

    private void writeSettings(PeerMessage message) throws IOException {
        if (message instanceof PeerMessage.SettingsOffer offer) {
            packer.packLong(offer.version().number());
        } else if (message instanceof PeerMessage.SettingsPull pull) {
            packer.packLong(pull.have().number());
        } else if (message instanceof PeerMessage.SettingsManifest manifest) {
            packer.packLong(manifest.version().number());
            packer.packLong(manifest.base().number());
            packer.packInt(manifest.inlineParts());
            packer.packArrayHeader(manifest.changed().size());
            for (PartDigest part : manifest.changed()) {
                packer.packString(part.name());
                writeBytes(part.digest());
            }
            packer.packArrayHeader(manifest.removed().size());
            for (String name : manifest.removed()) {
                packer.packString(name);
            }
        } else if (message instanceof PeerMessage.SettingsPartPull pull) {
            packer.packLong(pull.version().number());
            packer.packString(pull.name());
            writeBytes(pull.base());
            packer.packInt(pull.offsetBytes());
            packer.packBoolean(pull.lastPart());
        } else if (message instanceof PeerMessage.SettingsPart part) {
            PartChange change = part.change();
            packer.packLong(part.version().number());
            packer.packString(change.name());
            writeBytes(change.digest());
            writeBytes(change.base());
            writeBytes(change.content());
            packer.packInt(part.offsetBytes());
            packer.packInt(part.encodedBytes());
        } else if (message instanceof PeerMessage.SettingsBusy busy) {
            packer.packLong(busy.version().number());
        }
    }

    private void writeLoan(PeerMessage message) throws IOException {
        if (message instanceof PeerMessage.LoanRequest request) {
            packer.packLong(request.requestId());
            packer.packString(request.organisation().value());
            packer.packLong(request.tokensPerSecond());
        } else if (message instanceof PeerMessage.LoanGrant grant) {
            packer.packLong(grant.requestId());
            packer.packString(grant.organisation().value());
            packer.packLong(grant.tokensPerSecond());
            packer.packLong(grant.leaseMs());
        }
    }

    /** Writes each engine id once, in a table; the work items refer to engines by their index in it. */
    private void writeRevision(StoreRevision revision) throws IOException {
        packer.packLong(revision.epoch());
        packer.packLong(revision.number());
    }

    private void writeWork(PeerMessage.WorkReport report) throws IOException {
        packer.packLong(report.sequence());
        writeRevision(report.settingsRevision());
        writeRevision(report.serversRevision());
        packer.packLong(report.storeAgeMs());
        Map<BackendServerId, Integer> serverIndexes = new LinkedHashMap<>();
        for (PlacedRequest work : report.work()) {
            serverIndexes.putIfAbsent(work.server(), serverIndexes.size());
            work.readers().forEach(reader -> serverIndexes.putIfAbsent(reader.server(), serverIndexes.size()));
        }
        packer.packArrayHeader(serverIndexes.size());
        for (BackendServerId server : serverIndexes.keySet()) {
            packer.packString(server.value());
        }
        packer.packArrayHeader(report.work().size());
        for (PlacedRequest work : report.work()) {
            writeWork(work, serverIndexes);
        }
    }

    private void writeWork(PlacedRequest work, Map<BackendServerId, Integer> serverIndexes) throws IOException {
        packer.packLong(work.id());
        packer.packInt(serverIndexes.get(work.server()));
        packer.packArrayHeader(work.readers().size());
        for (PrefillReader reader : work.readers()) {
            packer.packInt(serverIndexes.get(reader.server()));
            packer.packLong(reader.heldTokens());
        }
        packer.packLong(work.promptTokens());
        packer.packLong(work.outputTokens());
        packer.packLong(work.generatedTokens());
        packer.packLong(work.ageMs());
        packer.packLong(work.dueInMs());
        packer.packLong(work.maxGapMs());
    }

    private void writeEvidence(PeerMessage.CrashEvidence evidence) throws IOException {
        packer.packArrayHeader(evidence.suspects().size());
        for (SuspectEvidence entry : evidence.suspects()) {
            packer.packArrayHeader(entry.suspects().size());
            for (SuspectId suspect : entry.suspects()) {
                writeSuspect(suspect);
            }
            packer.packBoolean(entry.isQuarantined());
            packer.packLong(entry.ageMs());
            writeIncarnations(entry.crashes());
            writeIncarnations(entry.refuted());
            packer.packArrayHeader(entry.requests().size());
            for (RequestFingerprint request : entry.requests()) {
                writeFingerprint(request);
            }
        }
    }

    private void writeSuspect(SuspectId suspect) throws IOException {
        if (suspect instanceof SuspectId.OfPart part) {
            packer.packInt(SUSPECT_PART);
            packer.packString(part.part().value());
        } else if (suspect instanceof SuspectId.OfRequest request) {
            packer.packInt(SUSPECT_REQUEST);
            writeFingerprint(request.fingerprint());
        }
    }

    /** An organisation id is never empty, so an empty one stands for a request without a key. */
    private void writeFingerprint(RequestFingerprint fingerprint) throws IOException {
        packer.packString(fingerprint.organisation().map(OrganisationId::value).orElse(""));
        packer.packString(fingerprint.digest());
    }

    private void writeLimitUses(PeerMessage.ServerLimitUses message) throws IOException {
        packer.packArrayHeader(message.uses().size());
        for (ServerLimitUse use : message.uses()) {
            packer.packString(use.server().server().value());
            packer.packLong(use.server().number());
            packer.packBoolean(use.isLimited());
            packer.packDouble(use.requestsPerSecond());
            packer.packLong(use.ageMs());
            packer.packLong(use.sentCount());
        }
    }

    private void writeColdUses(PeerMessage.ColdServerUses message) throws IOException {
        packer.packBoolean(message.receivesFromReceiver());
        packer.packArrayHeader(message.uses().size());
        for (ColdServerUse use : message.uses()) {
            packer.packString(use.server().server().value());
            packer.packLong(use.server().number());
            packer.packLong(use.remainingMs());
            packer.packLong(use.ageMs());
            packer.packLong(use.sentCount());
        }
    }

    private void writeOrder(PeerMessage message) throws IOException {
        if (message instanceof PeerMessage.ForwardOrder order) {
            packer.packLong(order.correlationId());
            packer.packString(order.ticket());
            packer.packString(order.organisation());
            packer.packString(order.requestId());
            packer.packLong(order.leftMs());
            writeBytes(order.body());
        } else if (message instanceof PeerMessage.OutcomeQuery query) {
            packer.packLong(query.correlationId());
            packer.packString(query.ticket());
            packer.packString(query.organisation());
        } else if (message instanceof PeerMessage.OrderOutcome outcome) {
            packer.packLong(outcome.correlationId());
            packer.packInt(outcome.httpStatus());
            packer.packString(outcome.contentType());
            writeBytes(outcome.body());
        }
    }

    private void writePiggyback(Piggyback piggyback) throws IOException {
        packer.packLong(piggyback.settings().number());
        packer.packInt(piggyback.viewDigest());
        writeUpdates(piggyback.updates());
        writeIncarnations(piggyback.leaving());
    }

    private void writeUpdates(List<MemberUpdate> updates) throws IOException {
        packer.packArrayHeader(updates.size());
        for (MemberUpdate update : updates) {
            writeUpdate(update);
        }
    }

    private void writeUpdate(MemberUpdate update) throws IOException {
        if (update instanceof MemberUpdate.Alive alive) {
            packer.packInt(UPDATE_ALIVE);
            packer.packInt(alive.refutation());
            writePeer(alive.peer());
        } else if (update instanceof MemberUpdate.Suspect suspect) {
            packer.packInt(UPDATE_SUSPECT);
            packer.packInt(suspect.refutation());
            writeIncarnation(suspect.incarnation());
            packer.packString(suspect.by().value());
        } else if (update instanceof MemberUpdate.Gone gone) {
            packer.packInt(gone.left() ? UPDATE_LEFT : UPDATE_DEAD);
            packer.packInt(gone.refutation());
            writeIncarnation(gone.incarnation());
        }
    }

    private void writeIncarnations(List<BackendIncarnation> servers) throws IOException {
        packer.packArrayHeader(servers.size());
        for (BackendIncarnation server : servers) {
            packer.packString(server.server().value());
            packer.packLong(server.number());
        }
    }

    void writePeer(Peer peer) throws IOException {
        writeIncarnation(peer.incarnation());
        packer.packString(peer.zone().value());
        packer.packString(peer.address().address());
        packer.packInt(peer.address().port());
    }

    private void writeIncarnation(HostIncarnation incarnation) throws IOException {
        packer.packString(incarnation.host().value());
        packer.packLong(incarnation.number());
    }

    void writeBytes(Bytes bytes) throws IOException {
        packer.packBinaryHeader(bytes.size());
        packer.writePayload(bytes.unsafeArray());
    }
}

package io.figspan.cluster.spread;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.figspan.cluster.action.ClusterAction;
import io.figspan.cluster.message.Bytes;
import io.figspan.cluster.message.PartChange;
import io.figspan.cluster.message.Peer;
import io.figspan.cluster.message.PeerAddress;
import io.figspan.cluster.message.PeerMessage;
import io.figspan.core.id.AvailabilityZoneId;
import io.figspan.core.id.HostId;
import io.figspan.core.id.HostIncarnation;
import io.figspan.core.id.SettingsVersion;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Guards against transfers of large parts that fill a link, are given up while they advance, or are sent twice. */
class SettingsTransferTest {
    private static final SettingsVersion VERSION = new SettingsVersion(5);
    private static final int PART_BYTES = 400_000;
    private static final Peer SELF = peer("self", 1);
    private static final Peer FIRST = peer("first", 2);
    private static final Peer SECOND = peer("second", 3);
    private static final Peer THIRD = peer("third", 4);

    private SettingsGossip source;
    private SettingsGossip reader;

    @BeforeEach
    void startSourceAndReader() {
        byte[] part = new byte[PART_BYTES];
        new SplittableRandom(1).nextBytes(part);
        SettingsContent content = SettingsContent.of(VERSION, Map.of("large", Bytes.wrap(part)));
        source = new SettingsGossip(FIRST, List.of(), new SplittableRandom(2), 0);
        source.settingsRead(content, 0);
        source.adopted(VERSION, List.of(), 0);
        reader = new SettingsGossip(SELF, List.of(FIRST.address()), new SplittableRandom(3), 0);
    }

    @Test
    void aSourceServesNoMoreReadersThanItHasSlots() {
        assertInstanceOf(PeerMessage.SettingsPart.class, pullPart(SECOND, 0, 0));
        assertInstanceOf(PeerMessage.SettingsPart.class, pullPart(THIRD, 0, 1));
        assertEquals(new PeerMessage.SettingsBusy(VERSION), pullPart(SELF, 0, 2));
        assertInstanceOf(PeerMessage.SettingsPart.class, pullPart(SECOND, PartAssembly.CHUNK_BYTES, 3));
    }

    @Test
    void aReaderThatHasFinishedOrGivenUpFreesItsSlot() {
        PeerMessage.SettingsPart firstChunk = (PeerMessage.SettingsPart) pullPart(SECOND, 0, 0);
        pullPart(THIRD, 0, 1);
        int lastOffset = firstChunk.encodedBytes() / PartAssembly.CHUNK_BYTES * PartAssembly.CHUNK_BYTES;
        pullPart(SECOND, lastOffset, 2);
        assertTrue(source.isOfferDue(3));
        assertInstanceOf(PeerMessage.SettingsPart.class, pullPart(SELF, 0, 3));
        long laterNanos = TimeUnit.SECONDS.toNanos(1);
        assertInstanceOf(PeerMessage.SettingsPart.class, pullPart(SECOND, 0, laterNanos));
    }

    @Test
    void aTransferThatAdvancesIsNotGivenUpHoweverLongItTakesInAll() {
        PeerMessage request = startPullFromFirst();
        long nowNanos = 0;
        while (request instanceof PeerMessage.SettingsPartPull pull) {
            nowNanos += SettingsGossip.PULL_TIMEOUT_NANOS - 1;
            assertEquals(List.of(), reader.tick(nowNanos));
            PeerMessage chunk = pullPart(SELF, pull.offsetBytes(), nowNanos);
            request = sentTo(FIRST, reader.receive(FIRST, chunk, nowNanos));
        }
        assertTrue(nowNanos > 3 * SettingsGossip.PULL_TIMEOUT_NANOS);
        assertEquals(VERSION, adoptedVersion());
    }

    @Test
    void aDuplicateChunkIsNotAnsweredWithASecondRequest() {
        startPullFromFirst();
        PeerMessage chunk = pullPart(SELF, 0, 1);
        assertEquals(1, reader.receive(FIRST, chunk, 2).size());
        assertEquals(List.of(), reader.receive(FIRST, chunk, 3));
    }

    @Test
    void aReaderContinuesAtAnotherSourceWithoutAnotherManifestWhenTheFirstIsBusy() {
        startPullFromFirst();
        reader.versionSeen(SECOND, VERSION, 1);
        List<ClusterAction> actions = reader.receive(FIRST, new PeerMessage.SettingsBusy(VERSION), 2);
        assertInstanceOf(PeerMessage.SettingsPartPull.class, sentTo(SECOND, actions));
    }

    @Test
    void aReaderAsksABusySourceAgainAfterAWait() {
        startPullFromFirst();
        assertEquals(List.of(), reader.receive(FIRST, new PeerMessage.SettingsBusy(VERSION), 1));
        assertEquals(List.of(), reader.versionSeen(FIRST, VERSION, 2));
        List<ClusterAction> actions = reader.tick(TimeUnit.MILLISECONDS.toNanos(151));
        assertInstanceOf(PeerMessage.SettingsPartPull.class, sentTo(FIRST, actions));
    }

    @Test
    void aReaderThatWaitsForABusySourcePullsANewerVersionInstead() {
        startPullFromFirst();
        reader.receive(FIRST, new PeerMessage.SettingsBusy(VERSION), 1);
        List<ClusterAction> actions = reader.versionSeen(SECOND, new SettingsVersion(6), 2);
        assertEquals(new PeerMessage.SettingsPull(SettingsVersion.NONE), sentTo(SECOND, actions));
    }

    @Test
    void aPartThatTheSourceEncodesInAnotherWayIsRequestedFromItsStart() {
        startPullFromFirst();
        PeerMessage.SettingsPart first = (PeerMessage.SettingsPart) pullPart(SELF, 0, 0);
        reader.receive(FIRST, first, 0);
        int chunkBytes = PartAssembly.CHUNK_BYTES;
        reader.receive(FIRST, new PeerMessage.SettingsPart(VERSION, first.change(), chunkBytes, 3 * chunkBytes), 0);
        PeerMessage next = sentTo(FIRST, reader.tick(SettingsGossip.PULL_TIMEOUT_NANOS));
        assertEquals(0, ((PeerMessage.SettingsPartPull) next).offsetBytes());
    }

    @Test
    void aChunkOfAWrongSizeEndsThePullWithAnError() {
        startPullFromFirst();
        PeerMessage.SettingsPart chunk = (PeerMessage.SettingsPart) pullPart(SELF, 0, 1);
        PartChange change = chunk.change();
        PartChange cut = new PartChange(change.name(), change.digest(), change.base(), Bytes.wrap(new byte[1]));
        PeerMessage.SettingsPart wrong = new PeerMessage.SettingsPart(VERSION, cut, 0, chunk.encodedBytes());
        assertInstanceOf(
                ClusterAction.SettingsPullFailed.class,
                reader.receive(FIRST, wrong, 2).get(0));
    }

    /** Lets the reader get the manifest from the first peer; returns its request for the first chunk. */
    private PeerMessage startPullFromFirst() {
        PeerMessage pull = sentTo(FIRST, reader.versionSeen(FIRST, VERSION, 0));
        PeerMessage manifest = reply(source.receive(SELF, pull, 0));
        return sentTo(FIRST, reader.receive(FIRST, manifest, 0));
    }

    private PeerMessage pullPart(Peer from, int offsetBytes, long nowNanos) {
        PeerMessage request = new PeerMessage.SettingsPartPull(VERSION, "large", Bytes.EMPTY, offsetBytes, true);
        return reply(source.receive(from, request, nowNanos));
    }

    private SettingsVersion adoptedVersion() {
        reader.adopted(VERSION, List.of(), 0);
        return reader.inForce();
    }

    private static PeerMessage reply(List<ClusterAction> actions) {
        return ((ClusterAction.Reply) actions.get(0)).message();
    }

    /** The message sent to this peer; null if there is none. */
    private static PeerMessage sentTo(Peer peer, List<ClusterAction> actions) {
        return actions.stream()
                .filter(ClusterAction.Send.class::isInstance)
                .map(ClusterAction.Send.class::cast)
                .filter(send -> send.to().equals(peer.address()))
                .map(ClusterAction.Send::message)
                .findFirst()
                .orElse(null);
    }

    private static Peer peer(String host, int port) {
        return new Peer(
                new HostIncarnation(HostId.of(host), 1),
                AvailabilityZoneId.of("az1"),
                new PeerAddress("127.0.0.1", port));
    }
}

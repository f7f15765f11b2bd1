package io.figspan.cluster.spread;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.figspan.cluster.SimulatedCluster;
import io.figspan.cluster.action.ClusterAction;
import io.figspan.cluster.message.Bytes;
import io.figspan.cluster.message.PartChange;
import io.figspan.cluster.message.PartDigest;
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
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Guards against hosts that stay on an old version or go back to one. The fleet fails a test that goes back. */
class SettingsGossipTest {
    private static final int HOSTS = 60;
    private static final int ZONES = 3;
    private static final long IN_FORCE_SECONDS = 3;

    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3})
    void aChangeIsInForceEverywhereWithinThreeSecondsDespiteLostMessages(long seed) {
        SimulatedCluster fleet = startedAt(10, seed);
        fleet.lossShare = 0.05;
        fleet.doubleShare = 0.1;
        for (long version = 11; version < 15; version++) {
            fleet.publish(SimulatedCluster.content(version));
            fleet.run(IN_FORCE_SECONDS);
            requireEverywhere(fleet, version);
        }
    }

    @Test
    void twoLiveHostsOfEachZoneWatchTheServiceAlsoAfterAWatcherDies() {
        SimulatedCluster fleet = startedAt(10, 4);
        assertEquals(2 * ZONES, fleet.running().filter(node -> node.watching).count());
        fleet.nodes.stream().filter(node -> node.watching).limit(2).forEach(SimulatedCluster.Node::kill);
        fleet.run(40);
        assertEquals(2 * ZONES, fleet.running().filter(node -> node.watching).count());
        fleet.publish(SimulatedCluster.content(11));
        fleet.run(IN_FORCE_SECONDS);
        requireEverywhere(fleet, 11);
    }

    @Test
    void aRestartedHostTakesThePeersVersionWhenTheServiceIsStale() {
        SimulatedCluster fleet = startedAt(10, 5);
        fleet.service = SimulatedCluster.content(9);
        SimulatedCluster.Node restarted = fleet.nodes.get(17);
        restarted.kill();
        fleet.run(1);
        restarted.start();
        fleet.run(IN_FORCE_SECONDS);
        requireEverywhere(fleet, 10);
    }

    @Test
    void aRestartedHostGetsTheVersionFromPeersWhileTheServiceIsDown() {
        SimulatedCluster fleet = startedAt(10, 6);
        fleet.service = null;
        fleet.nodes.get(17).kill();
        fleet.run(1);
        fleet.nodes.get(17).start();
        fleet.run(IN_FORCE_SECONDS);
        requireEverywhere(fleet, 10);
    }

    @Test
    void anInvalidVersionIsAdoptedNowhereAndTheNextValidOneEverywhere() {
        SimulatedCluster fleet = startedAt(10, 7);
        fleet.publish(SettingsContent.of(new SettingsVersion(11), Map.of("invalid", SimulatedCluster.bytes("x"))));
        fleet.run(10);
        requireEverywhere(fleet, 10);
        fleet.publish(SimulatedCluster.content(12));
        fleet.run(IN_FORCE_SECONDS);
        requireEverywhere(fleet, 12);
    }

    @Test
    void aHalfWithoutTheServiceCatchesUpAfterThePartitionHeals() {
        SimulatedCluster fleet = startedAt(10, 8);
        fleet.cut = (from, to) -> from % 2 != to % 2;
        fleet.nodes.stream().filter(node -> node.index % 2 == 0).forEach(node -> {
            if (node.watching) {
                node.carryOut(node.host.settingsRead(SimulatedCluster.content(11), fleet.nowNanos), node.index);
            }
        });
        fleet.run(10);
        assertTrue(fleet.nodes.stream().allMatch(node -> node.inForce.number() == 11 - node.index % 2));
        fleet.service = SimulatedCluster.content(9);
        fleet.cut = (from, to) -> false;
        fleet.run(10);
        requireEverywhere(fleet, 11);
    }

    @Test
    void aHostThatWakesWithAnOldVersionCatchesUp() {
        SimulatedCluster fleet = startedAt(10, 9);
        fleet.nodes.get(21).pause(TimeUnit.SECONDS.toNanos(30));
        for (long version = 11; version < 25; version++) {
            fleet.publish(SimulatedCluster.content(version));
            fleet.run(2);
        }
        fleet.run(2 + IN_FORCE_SECONDS);
        requireEverywhere(fleet, 24);
    }

    @Test
    void aPartThatDoesNotMatchItsDigestIsRefusedAndAnotherPeerIsAsked() {
        Peer good = peer("good", 1);
        Peer bad = peer("bad", 2);
        SettingsGossip spread = new SettingsGossip(peer("self", 3), List.of(bad.address()), new SplittableRandom(1), 0);
        SettingsVersion version = new SettingsVersion(5);
        Bytes digest = ContentHistory.sha256(SimulatedCluster.bytes("right"));
        spread.receive(bad, new PeerMessage.SettingsOffer(version), 1);
        spread.receive(good, new PeerMessage.SettingsOffer(version), 2);
        spread.receive(
                bad,
                new PeerMessage.SettingsManifest(
                        version, SettingsVersion.NONE, 1, List.of(new PartDigest("p", digest)), List.of()),
                3);
        PartChange wrong = new PartChange("p", digest, Bytes.EMPTY, PartDelta.whole(SimulatedCluster.bytes("wrong")));
        List<ClusterAction> actions = spread.receive(bad, new PeerMessage.SettingsPart(version, wrong), 4);
        assertEquals(
                new ClusterAction.Send(good.address(), new PeerMessage.SettingsPull(SettingsVersion.NONE)),
                actions.get(1));
        assertEquals(SettingsVersion.NONE, spread.inForce());
    }

    private static SimulatedCluster startedAt(long version, long seed) {
        SimulatedCluster fleet = new SimulatedCluster(HOSTS, seed);
        fleet.service = SimulatedCluster.content(version);
        fleet.run(20);
        requireEverywhere(fleet, version);
        return fleet;
    }

    private static void requireEverywhere(SimulatedCluster fleet, long version) {
        fleet.running()
                .forEach(node -> assertEquals(new SettingsVersion(version), node.inForce, "host h" + node.index));
    }

    private static Peer peer(String host, int port) {
        return new Peer(
                new HostIncarnation(HostId.of(host), 1),
                AvailabilityZoneId.of("az1"),
                new PeerAddress("127.0.0.1", port));
    }
}

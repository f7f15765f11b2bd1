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

/** Guards against hosts that stay on an old version or return to one. {@link SimulatedCluster} fails on a return. */
class SettingsGossipTest {
    private static final int HOSTS = 60;
    private static final int ZONES = 3;
    private static final long IN_FORCE_SECONDS = 3;

    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3})
    void aChangeIsInForceEverywhereWithinThreeSecondsDespiteLostMessages(long seed) {
        SimulatedCluster cluster = startedAt(10, seed);
        cluster.lossProbability = 0.05;
        cluster.duplicationProbability = 0.1;
        for (long version = 11; version < 15; version++) {
            cluster.publish(SimulatedCluster.content(version));
            cluster.run(IN_FORCE_SECONDS);
            requireEverywhere(cluster, version);
        }
    }

    @Test
    void twoLiveHostsOfEachZoneWatchTheConfigurationServiceEvenAfterWatchersDie() {
        SimulatedCluster cluster = startedAt(10, 4);
        assertEquals(2 * ZONES, cluster.running().filter(node -> node.watching).count());
        cluster.nodes.stream().filter(node -> node.watching).limit(2).forEach(SimulatedCluster.Node::kill);
        cluster.run(40);
        assertEquals(2 * ZONES, cluster.running().filter(node -> node.watching).count());
        cluster.publish(SimulatedCluster.content(11));
        cluster.run(IN_FORCE_SECONDS);
        requireEverywhere(cluster, 11);
    }

    @Test
    void aRestartedHostTakesThePeersVersionWhenTheServiceIsStale() {
        SimulatedCluster cluster = startedAt(10, 5);
        cluster.service = SimulatedCluster.content(9);
        SimulatedCluster.Node restarted = cluster.nodes.get(17);
        restarted.kill();
        cluster.run(1);
        restarted.start();
        cluster.run(IN_FORCE_SECONDS);
        requireEverywhere(cluster, 10);
    }

    @Test
    void aRestartedHostGetsTheVersionFromPeersWhileTheServiceIsDown() {
        SimulatedCluster cluster = startedAt(10, 6);
        cluster.service = null;
        cluster.nodes.get(17).kill();
        cluster.run(1);
        cluster.nodes.get(17).start();
        cluster.run(IN_FORCE_SECONDS);
        requireEverywhere(cluster, 10);
    }

    @Test
    void anInvalidVersionIsAdoptedNowhereAndTheNextValidOneEverywhere() {
        SimulatedCluster cluster = startedAt(10, 7);
        cluster.publish(SettingsContent.of(new SettingsVersion(11), Map.of("invalid", SimulatedCluster.bytes("x"))));
        cluster.run(10);
        requireEverywhere(cluster, 10);
        cluster.publish(SimulatedCluster.content(12));
        cluster.run(IN_FORCE_SECONDS);
        requireEverywhere(cluster, 12);
    }

    @Test
    void aHalfWithoutTheServiceCatchesUpAfterThePartitionHeals() {
        SimulatedCluster cluster = startedAt(10, 8);
        cluster.blocked = (from, to) -> from % 2 != to % 2;
        cluster.nodes.stream().filter(node -> node.index % 2 == 0).forEach(node -> {
            if (node.watching) {
                node.execute(node.host.settingsRead(SimulatedCluster.content(11), cluster.nowNanos), node.index);
            }
        });
        cluster.run(10);
        assertTrue(cluster.nodes.stream().allMatch(node -> node.inForce.number() == 11 - node.index % 2));
        cluster.service = SimulatedCluster.content(9);
        cluster.blocked = (from, to) -> false;
        cluster.run(10);
        requireEverywhere(cluster, 11);
    }

    @Test
    void aHostThatResumesWithAnOldVersionCatchesUp() {
        SimulatedCluster cluster = startedAt(10, 9);
        cluster.nodes.get(21).pause(TimeUnit.SECONDS.toNanos(30));
        for (long version = 11; version < 25; version++) {
            cluster.publish(SimulatedCluster.content(version));
            cluster.run(2);
        }
        cluster.run(2 + IN_FORCE_SECONDS);
        requireEverywhere(cluster, 24);
    }

    @Test
    void aPartThatDoesNotMatchItsDigestIsRejectedAndAnotherPeerIsTried() {
        Peer good = peer("good", 1);
        Peer bad = peer("bad", 2);
        SettingsGossip gossip = new SettingsGossip(peer("self", 3), List.of(bad.address()), new SplittableRandom(1), 0);
        SettingsVersion version = new SettingsVersion(5);
        Bytes digest = ContentHistory.sha256(SimulatedCluster.bytes("right"));
        gossip.receive(bad, new PeerMessage.SettingsOffer(version), 1);
        gossip.receive(good, new PeerMessage.SettingsOffer(version), 2);
        gossip.receive(
                bad,
                new PeerMessage.SettingsManifest(
                        version, SettingsVersion.NONE, 1, List.of(new PartDigest("p", digest)), List.of()),
                3);
        PartChange wrong =
                new PartChange("p", digest, Bytes.EMPTY, PartDelta.deflateWhole(SimulatedCluster.bytes("wrong")));
        List<ClusterAction> actions = gossip.receive(bad, new PeerMessage.SettingsPart(version, wrong), 4);
        assertEquals(
                new ClusterAction.Send(good.address(), new PeerMessage.SettingsPull(SettingsVersion.NONE)),
                actions.get(1));
        assertEquals(SettingsVersion.NONE, gossip.inForce());
    }

    private static SimulatedCluster startedAt(long version, long seed) {
        SimulatedCluster cluster = new SimulatedCluster(HOSTS, seed);
        cluster.service = SimulatedCluster.content(version);
        cluster.run(20);
        requireEverywhere(cluster, version);
        return cluster;
    }

    private static void requireEverywhere(SimulatedCluster cluster, long version) {
        cluster.running()
                .forEach(node -> assertEquals(new SettingsVersion(version), node.inForce, "host h" + node.index));
    }

    private static Peer peer(String host, int port) {
        return new Peer(
                new HostIncarnation(HostId.of(host), 1),
                AvailabilityZoneId.of("az1"),
                new PeerAddress("127.0.0.1", port));
    }
}

package io.figspan.cluster.membership;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.figspan.cluster.SimulatedCluster;
import io.figspan.cluster.action.ClusterAction;
import io.figspan.cluster.message.MemberUpdate;
import io.figspan.cluster.message.Peer;
import io.figspan.cluster.message.PeerAddress;
import io.figspan.cluster.message.PeerMessage;
import io.figspan.cluster.message.Piggyback;
import io.figspan.core.id.AvailabilityZoneId;
import io.figspan.core.id.BackendIncarnation;
import io.figspan.core.id.BackendServerId;
import io.figspan.core.id.HostId;
import io.figspan.core.id.HostIncarnation;
import io.figspan.core.id.SettingsVersion;
import java.util.List;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Verifies that the view of each host converges to the hosts that are actually live once the injected faults end. */
class MembershipTest {
    private static final int HOSTS = 12;

    /** The suspicion timeout at this size is 3 to 9 s; the rest allows for probing and gossip. */
    private static final long DETECTION_SECONDS = 30;

    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3})
    void allHostsDiscoverEachOtherThroughTheSeeds(long seed) {
        SimulatedCluster cluster = new SimulatedCluster(HOSTS, seed);
        cluster.requireConvergenceWithin(10);
    }

    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3})
    void aKilledHostIsRemovedAndItsNewIncarnationIsAdded(long seed) {
        SimulatedCluster cluster = started(seed);
        cluster.nodes.get(5).kill();
        cluster.requireConvergenceWithin(DETECTION_SECONDS);
        cluster.nodes.get(5).start();
        cluster.requireConvergenceWithin(10);
    }

    @Test
    void aHostRestartedBeforeItsDeathIsNoticedReplacesItsOldIncarnation() {
        SimulatedCluster cluster = started(4);
        cluster.nodes.get(7).kill();
        cluster.run(1);
        cluster.nodes.get(7).start();
        cluster.requireConvergenceWithin(15);
        cluster.run(60);
        cluster.requireConvergenceWithin(1);
    }

    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3})
    void noHostIsDeclaredDeadWhenATenthOfTheMessagesIsLostDuplicatedOrReordered(long seed) {
        SimulatedCluster cluster = started(seed);
        cluster.lossProbability = 0.1;
        cluster.duplicationProbability = 0.2;
        cluster.extraDelayNanos = TimeUnit.MILLISECONDS.toNanos(150);
        for (int second = 0; second < 60; second++) {
            cluster.run(1);
            cluster.running().forEach(node -> assertEquals(cluster.expectedView(), node.liveView()));
        }
    }

    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3})
    void bothHalvesOfAPartitionRediscoverEachOtherAfterItHeals(long seed) {
        SimulatedCluster cluster = started(seed);
        cluster.blocked = (from, to) -> from % 2 != to % 2;
        cluster.run(60);
        cluster.running()
                .forEach(node -> assertEquals(HOSTS / 2, node.liveView().size()));
        cluster.blocked = (from, to) -> false;
        cluster.requireConvergenceWithin(60);
        cluster.run(60);
        cluster.requireConvergenceWithin(1);
    }

    /** Makes host 2 suspect a host whose reports have stopped. */
    private static HostId suspectSilent(SimulatedCluster cluster, int index) {
        HostId silent = cluster.nodes.get(index).peer().host();
        SimulatedCluster.Node reporter = cluster.nodes.get(2);
        reporter.execute(reporter.host.membership().suspectSilent(List.of(silent), cluster.nowNanos), 2);
        return silent;
    }

    @Test
    void oneReportOfASilentHostMakesAllHostsSuspectIt() {
        SimulatedCluster cluster = started(6);
        cluster.nodes.get(5).kill();
        HostId silent = suspectSilent(cluster, 5);
        cluster.run(1);
        cluster.running().forEach(node -> assertTrue(node.host.membership().isSuspect(silent)));
    }

    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3})
    void aLiveHostRefutesAReportThatItIsSilent(long seed) {
        SimulatedCluster cluster = started(seed);
        HostId suspected = suspectSilent(cluster, 5);
        cluster.run(DETECTION_SECONDS);
        cluster.running().forEach(node -> assertFalse(node.host.membership().isSuspect(suspected)));
        cluster.requireConvergenceWithin(1);
    }

    @Test
    void aHostThatHasLeftSuspectsNobody() {
        SimulatedCluster cluster = started(7);
        SimulatedCluster.Node leaving = cluster.nodes.get(2);
        leaving.execute(leaving.host.membership().leave(), 2);
        HostId silent = suspectSilent(cluster, 5);
        cluster.run(1);
        assertFalse(cluster.nodes.get(8).host.membership().isSuspect(silent));
    }

    @Test
    void aLinkBlockedInOneDirectionMakesNeitherHostDead() {
        SimulatedCluster cluster = started(5);
        cluster.blocked = (from, to) -> from == 3 && to == 8;
        for (int second = 0; second < 60; second++) {
            cluster.run(1);
            assertEquals(HOSTS, cluster.nodes.get(0).liveView().size());
        }
    }

    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3})
    void aHostThatResumesAfterALongPauseCausesNoFalseDeathsAndRejoins(long seed) {
        SimulatedCluster cluster = started(seed);
        SimulatedCluster.Node paused = cluster.nodes.get(4);
        paused.pause(TimeUnit.SECONDS.toNanos(40));
        cluster.run(39);
        assertFalse(cluster.nodes
                .get(0)
                .liveView()
                .contains(paused.peer().incarnation().toString()));
        for (int step = 0; step < 20; step++) {
            cluster.run(1);
            int live = (int) cluster.nodes.get(0).liveView().stream()
                    .filter(h -> !h.startsWith("h4@"))
                    .count();
            assertEquals(HOSTS - 1, live, "the paused host must not get others declared dead");
        }
        cluster.requireConvergenceWithin(30);
    }

    @Test
    void aLateTickDoesNotExpireASuspicion() {
        Membership membership =
                new Membership(peer("a", 1), List.of(), MembershipConfig.DEFAULTS, new SplittableRandom(1), 0);
        membership.receive(peer("b", 1), new PeerMessage.Ping(1, Piggyback.NONE), 1);
        membership.receive(peer("c", 1), new PeerMessage.Ping(1, Piggyback.NONE), 1);
        Piggyback suspicion = new Piggyback(
                SettingsVersion.NONE,
                0,
                List.of(new MemberUpdate.Suspect(peer("b", 1).incarnation(), 0, HostId.of("c"))),
                List.of());
        membership.receive(peer("c", 1), new PeerMessage.Ping(2, suspicion), 2);
        long resumedNanos = TimeUnit.SECONDS.toNanos(40);
        ClusterAction gone = new ClusterAction.MemberChanged(peer("b", 1), false);
        assertFalse(membership.tick(resumedNanos).contains(gone));
        assertTrue(membership.localHealthScore() > 0);
        assertTrue(membership.liveAt(HostId.of("b")).isPresent());
    }

    @Test
    void aPausedHostThatWasReplacedStopsWhenItResumes() {
        Peer self = peer("a", 1);
        Membership old = new Membership(self, List.of(), MembershipConfig.DEFAULTS, new SplittableRandom(1), 0);
        old.receive(peer("b", 1), new PeerMessage.Ping(1, Piggyback.NONE), 1);
        Membership other =
                new Membership(peer("b", 1), List.of(), MembershipConfig.DEFAULTS, new SplittableRandom(2), 0);
        other.receive(peer("a", 2), new PeerMessage.Ping(1, Piggyback.NONE), 1);
        List<ClusterAction> answer = other.receive(self, new PeerMessage.Ping(9, Piggyback.NONE), 2);
        PeerMessage reply = ((ClusterAction.Reply) answer.get(answer.size() - 1)).message();
        List<ClusterAction> actions = old.receive(peer("b", 1), reply, 3);
        assertEquals(List.of(new ClusterAction.Superseded(peer("a", 2).incarnation())), actions);
        assertTrue(old.isStopped());
        assertEquals(List.of(), old.tick(Membership.TICK_NANOS));
    }

    @Test
    void aHostThatLeavesIsRemovedWithoutSuspicion() {
        SimulatedCluster cluster = started(6);
        SimulatedCluster.Node leaving = cluster.nodes.get(2);
        leaving.execute(leaving.host.leave(), leaving.index);
        cluster.requireConvergenceWithin(3);
    }

    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3})
    void allHostsKnowOfALeavingBackendServerWithinThreeSeconds(long seed) {
        SimulatedCluster cluster = new SimulatedCluster(60, seed);
        cluster.run(20);
        cluster.lossProbability = 0.05;
        BackendIncarnation backend = new BackendIncarnation(BackendServerId.of("engine-3"), 7);
        SimulatedCluster.Node first = cluster.nodes.get(11);
        first.execute(first.host.backendLeaving(backend), first.index);
        cluster.run(3);
        cluster.running().forEach(node -> assertTrue(node.leaving.contains(backend), "h" + node.index));
        assertTrue(first.host.membership().isLeaving(backend));
        assertFalse(first.host.membership().isLeaving(new BackendIncarnation(backend.server(), 8)));
    }

    @Test
    void aFullMemberTableDiscardsNewMembersAndReportsThem() {
        MembershipConfig small = new MembershipConfig(
                TimeUnit.SECONDS.toNanos(1), TimeUnit.MILLISECONDS.toNanos(300), 3, 1, 4, 8, 400, 1);
        Membership membership = new Membership(peer("a", 1), List.of(), small, new SplittableRandom(1), 0);
        for (int i = 0; i < 4; i++) {
            membership.receive(peer("b" + i, 1), new PeerMessage.Ping(1, Piggyback.NONE), 1);
        }
        List<ClusterAction> actions = membership.receive(peer("c", 1), new PeerMessage.Ping(1, Piggyback.NONE), 1);
        assertEquals(new ClusterAction.MemberTableFull(peer("c", 1)), actions.get(0));
        assertEquals(5, membership.live().size());
    }

    private static SimulatedCluster started(long seed) {
        SimulatedCluster cluster = new SimulatedCluster(HOSTS, seed);
        cluster.requireConvergenceWithin(10);
        return cluster;
    }

    private static Peer peer(String host, long incarnation) {
        return new Peer(
                new HostIncarnation(HostId.of(host), incarnation),
                AvailabilityZoneId.of("az1"),
                new PeerAddress("127.0.0.1", 7000));
    }
}

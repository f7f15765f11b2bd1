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

/** Compares each view with a reference that has perfect knowledge, after the faults of the test have healed. */
class MembershipTest {
    private static final int HOSTS = 12;

    /** Suspicion at this size takes 3 to 9 s; the rest is probing and gossip. */
    private static final long DETECTION_SECONDS = 30;

    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3})
    void allHostsFindEachOtherThroughTheSeeds(long seed) {
        SimulatedCluster fleet = new SimulatedCluster(HOSTS, seed);
        fleet.requireReferenceWithin(10);
    }

    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3})
    void aKilledHostIsDroppedAndItsNewIncarnationIsTakenIn(long seed) {
        SimulatedCluster fleet = started(seed);
        fleet.nodes.get(5).kill();
        fleet.requireReferenceWithin(DETECTION_SECONDS);
        fleet.nodes.get(5).start();
        fleet.requireReferenceWithin(10);
    }

    @Test
    void aHostRestartedBeforeItsDeathIsNoticedReplacesItsOldIncarnation() {
        SimulatedCluster fleet = started(4);
        fleet.nodes.get(7).kill();
        fleet.run(1);
        fleet.nodes.get(7).start();
        fleet.requireReferenceWithin(15);
        fleet.run(60);
        fleet.requireReferenceWithin(1);
    }

    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3})
    void noHostIsDeclaredDeadWhenATenthOfTheMessagesIsLostDoubledOrReordered(long seed) {
        SimulatedCluster fleet = started(seed);
        fleet.lossShare = 0.1;
        fleet.doubleShare = 0.2;
        fleet.extraDelayNanos = TimeUnit.MILLISECONDS.toNanos(150);
        for (int second = 0; second < 60; second++) {
            fleet.run(1);
            fleet.running().forEach(node -> assertEquals(fleet.reference(), node.liveView()));
        }
    }

    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3})
    void bothHalvesOfAPartitionFindEachOtherAfterItHeals(long seed) {
        SimulatedCluster fleet = started(seed);
        fleet.cut = (from, to) -> from % 2 != to % 2;
        fleet.run(60);
        fleet.running().forEach(node -> assertEquals(HOSTS / 2, node.liveView().size()));
        fleet.cut = (from, to) -> false;
        fleet.requireReferenceWithin(60);
        fleet.run(60);
        fleet.requireReferenceWithin(1);
    }

    /** Host 2 no longer hears another one that should report to it. */
    private static HostId suspectSilent(SimulatedCluster fleet, int index) {
        HostId silent = fleet.nodes.get(index).peer().host();
        SimulatedCluster.Node teller = fleet.nodes.get(2);
        teller.carryOut(teller.host.membership().suspectSilent(List.of(silent), fleet.nowNanos), 2);
        return silent;
    }

    @Test
    void allHostsDoubtASilentHostAsSoonAsOneTells() {
        SimulatedCluster fleet = started(6);
        fleet.nodes.get(5).kill();
        HostId silent = suspectSilent(fleet, 5);
        fleet.run(1);
        fleet.running().forEach(node -> assertTrue(node.host.membership().isSuspect(silent)));
    }

    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3})
    void aHostThatIsAliveRefutesThatItFellSilent(long seed) {
        SimulatedCluster fleet = started(seed);
        HostId accused = suspectSilent(fleet, 5);
        fleet.run(DETECTION_SECONDS);
        fleet.running().forEach(node -> assertFalse(node.host.membership().isSuspect(accused)));
        fleet.requireReferenceWithin(1);
    }

    @Test
    void aHostThatHasLeftAccusesNobody() {
        SimulatedCluster fleet = started(7);
        SimulatedCluster.Node leaving = fleet.nodes.get(2);
        leaving.carryOut(leaving.host.membership().leave(), 2);
        HostId heardNoMore = suspectSilent(fleet, 5);
        fleet.run(1);
        assertFalse(fleet.nodes.get(8).host.membership().isSuspect(heardNoMore));
    }

    @Test
    void aLinkCutInOneDirectionBetweenTwoHostsKillsNeither() {
        SimulatedCluster fleet = started(5);
        fleet.cut = (from, to) -> from == 3 && to == 8;
        for (int second = 0; second < 60; second++) {
            fleet.run(1);
            assertEquals(HOSTS, fleet.nodes.get(0).liveView().size());
        }
    }

    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3})
    void aHostThatWakesAfterALongPauseAccusesNobodyAndIsTakenBack(long seed) {
        SimulatedCluster fleet = started(seed);
        SimulatedCluster.Node paused = fleet.nodes.get(4);
        paused.pause(TimeUnit.SECONDS.toNanos(40));
        fleet.run(39);
        assertFalse(fleet.nodes
                .get(0)
                .liveView()
                .contains(paused.peer().incarnation().toString()));
        for (int step = 0; step < 20; step++) {
            fleet.run(1);
            int live = (int) fleet.nodes.get(0).liveView().stream()
                    .filter(h -> !h.startsWith("h4@"))
                    .count();
            assertEquals(HOSTS - 1, live, "the paused host must not get others declared dead");
        }
        fleet.requireReferenceWithin(30);
    }

    @Test
    void aLateTickDoesNotLetASuspicionRunOut() {
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
        long wokenNanos = TimeUnit.SECONDS.toNanos(40);
        ClusterAction gone = new ClusterAction.MemberChanged(peer("b", 1), false);
        assertFalse(membership.tick(wokenNanos).contains(gone));
        assertTrue(membership.localHealthScore() > 0);
        assertTrue(membership.liveAt(HostId.of("b")).isPresent());
    }

    @Test
    void aPausedHostThatWasReplacedStopsWhenItWakes() {
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
    void aHostThatLeavesIsDroppedWithoutSuspicion() {
        SimulatedCluster fleet = started(6);
        SimulatedCluster.Node leaver = fleet.nodes.get(2);
        leaver.carryOut(leaver.host.leave(), leaver.index);
        fleet.requireReferenceWithin(3);
    }

    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3})
    void allHostsKnowOfALeavingBackendServerWithinThreeSeconds(long seed) {
        SimulatedCluster fleet = new SimulatedCluster(60, seed);
        fleet.run(20);
        fleet.lossShare = 0.05;
        BackendIncarnation backend = new BackendIncarnation(BackendServerId.of("engine-3"), 7);
        SimulatedCluster.Node first = fleet.nodes.get(11);
        first.carryOut(first.host.backendLeaving(backend), first.index);
        fleet.run(3);
        fleet.running().forEach(node -> assertTrue(node.leaving.contains(backend), "h" + node.index));
        assertTrue(first.host.membership().isLeaving(backend));
        assertFalse(first.host.membership().isLeaving(new BackendIncarnation(backend.server(), 8)));
    }

    @Test
    void aFullTableRefusesNewMembersAndReportsThem() {
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
        SimulatedCluster fleet = new SimulatedCluster(HOSTS, seed);
        fleet.requireReferenceWithin(10);
        return fleet;
    }

    private static Peer peer(String host, long incarnation) {
        return new Peer(
                new HostIncarnation(HostId.of(host), incarnation),
                AvailabilityZoneId.of("az1"),
                new PeerAddress("127.0.0.1", 7000));
    }
}

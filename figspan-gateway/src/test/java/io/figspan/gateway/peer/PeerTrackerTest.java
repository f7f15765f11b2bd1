package io.figspan.gateway.peer;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.figspan.cluster.message.Peer;
import io.figspan.cluster.message.PeerAddress;
import io.figspan.cluster.message.PeerMessage;
import io.figspan.core.id.AvailabilityZoneId;
import io.figspan.core.id.BackendIncarnation;
import io.figspan.core.id.BackendServerId;
import io.figspan.core.id.HostId;
import io.figspan.core.id.HostIncarnation;
import io.figspan.core.id.StoreRevision;
import io.figspan.core.work.PlacedRequest;
import io.figspan.core.work.WorkChange;
import io.figspan.gateway.GatewayConfig;
import io.figspan.gateway.TestConfigs;
import io.figspan.gateway.log.DecisionLog;
import io.figspan.gateway.metrics.ProcessorTime;
import io.figspan.wire.DatagramCodec;
import io.netty.channel.EventLoop;
import io.netty.channel.nio.NioEventLoopGroup;
import java.io.IOException;
import java.net.DatagramPacket;
import java.net.DatagramSocket;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

/** Runs several hosts on loopback that discover each other and exchange reports of their work. */
class PeerTrackerTest {
    private static final StoreRevision SEVEN = new StoreRevision(2, 7);
    private static final StoreRevision EIGHT = new StoreRevision(2, 8);
    private static final long LIMIT_S = 20;
    private static final long TICK_MS = 20;

    private final NioEventLoopGroup group = new NioEventLoopGroup(1);
    private final EventLoop loop = group.next();
    private final List<Host> hosts = new ArrayList<>();

    @AfterEach
    void stop() {
        group.shutdownGracefully(0, 1, TimeUnit.SECONDS).syncUninterruptibly();
    }

    /** A report that a host has received. */
    private record ReceivedReport(HostId host, int jobs) {}

    /** One host; all hosts run on the same event loop. */
    private final class Host implements PeerListener, WorkReportSource {
        final HostId id;
        final InetSocketAddress address;
        final BlockingQueue<ReceivedReport> reports = new LinkedBlockingQueue<>();
        final BlockingQueue<HostId> silentHosts = new LinkedBlockingQueue<>();
        final BlockingQueue<Set<HostId>> liveHostSets = new LinkedBlockingQueue<>();
        final BlockingQueue<PeerMessage.CrashEvidence> evidenceReceived = new LinkedBlockingQueue<>();
        final BlockingQueue<BackendIncarnation> leavingServers = new LinkedBlockingQueue<>();
        final PeerTracker peers;
        volatile Set<HostId> reportRecipients = Set.of();
        volatile long storeAgeMs = -1;
        int jobs;
        private long sequence;

        Host(String name, InetSocketAddress address, InetSocketAddress seed) {
            id = HostId.of(name);
            this.address = address;
            GatewayConfig config = TestConfigs.of(id, address, List.of(seed), 0.2);
            peers = new PeerTracker(
                    loop,
                    config,
                    new DecisionLog(),
                    new SplittableRandom(1),
                    this,
                    this,
                    ProcessorTime.ofCallingThread());
            peers.listen().syncUninterruptibly();
            onLoop(() -> peers.join(System.nanoTime()));
            var unused = loop.scheduleWithFixedDelay(
                    () -> peers.tick(System.nanoTime()), TICK_MS, TICK_MS, TimeUnit.MILLISECONDS);
        }

        @Override
        public PeerMessage.WorkReport report() {
            List<PlacedRequest> work = new ArrayList<>();
            for (int job = 0; job < jobs; job++) {
                work.add(new PlacedRequest(job, BackendServerId.of("engine"), List.of(), 1_000, 100, 0, 5, 300, 250));
            }
            return new PeerMessage.WorkReport(++sequence, SEVEN, EIGHT, storeAgeMs, work);
        }

        @Override
        public Set<HostId> cell() {
            return reportRecipients;
        }

        @Override
        public Set<HostId> reportRecipients(List<PlacedRequest> work) {
            return reportRecipients;
        }

        @Override
        public void onHostsChanged(Set<HostId> liveHosts) {
            liveHostSets.add(liveHosts);
        }

        @Override
        public void onWorkReport(HostId host, List<PlacedRequest> work) {
            reports.add(new ReceivedReport(host, work.size()));
        }

        @Override
        public void onHostSilent(HostId host) {
            silentHosts.add(host);
        }

        @Override
        public void onHostJoined(Peer peer) {}

        @Override
        public void onCrashEvidence(PeerMessage.CrashEvidence evidence) {
            evidenceReceived.add(evidence);
        }

        @Override
        public void onServerLimitUses(Peer from, PeerMessage.ServerLimitUses uses) {}

        @Override
        public void onColdServerUses(Peer from, PeerMessage.ColdServerUses uses) {}

        @Override
        public void onServerLeaving(BackendIncarnation server) {
            leavingServers.add(server);
        }

        @Override
        public void onNewerItems(Peer peer, StoreRevision settingsRevision, StoreRevision serversRevision) {
            assertEquals(SEVEN, settingsRevision);
            assertEquals(EIGHT, serversRevision);
        }
    }

    private void onLoop(Runnable action) {
        loop.submit(action).syncUninterruptibly();
    }

    private static InetSocketAddress freeAddress() throws IOException {
        try (DatagramSocket socket = new DatagramSocket(0, InetAddress.getLoopbackAddress())) {
            return (InetSocketAddress) socket.getLocalSocketAddress();
        }
    }

    private void startHosts(int count) throws IOException {
        InetSocketAddress seed = freeAddress();
        hosts.add(new Host("host-0", seed, seed));
        for (int host = 1; host < count; host++) {
            hosts.add(new Host("host-" + host, freeAddress(), seed));
        }
    }

    private static void awaitReport(Host host, HostId from, int jobs) throws InterruptedException {
        ReceivedReport last;
        do {
            last = host.reports.poll(LIMIT_S, TimeUnit.SECONDS);
        } while (last != null && !(last.host().equals(from) && last.jobs() == jobs));
        assertTrue(last != null, host.id + " received no report of " + jobs + " jobs at " + from);
    }

    /** Waits for the first, empty reports of these hosts, which arrive in any order and are not repeated. */
    private static void awaitEmptyReports(Host host, HostId... senders) throws InterruptedException {
        Set<HostId> missing = new HashSet<>(List.of(senders));
        while (!missing.isEmpty()) {
            ReceivedReport report = host.reports.poll(LIMIT_S, TimeUnit.SECONDS);
            assertTrue(report != null, host.id + " received no report of " + missing);
            if (report.jobs() == 0) {
                missing.remove(report.host());
            }
        }
    }

    @Test
    void hostsThatKnowOneSeedDiscoverEachOther() throws Exception {
        startHosts(3);

        awaitReport(hosts.get(1), hosts.get(2).id, 0);
        awaitReport(hosts.get(2), hosts.get(1).id, 0);

        onLoop(() -> assertEquals(3, hosts.get(0).peers.hostCount()));
    }

    /** Guards against a process that takes itself for the whole fleet before it has reached the seed hosts. */
    @Test
    void aHostKnowsMostSeedsOnceItHasReachedThem() throws Exception {
        InetSocketAddress seed = freeAddress();
        Host first = new Host("host-1", freeAddress(), seed);
        onLoop(() -> assertFalse(first.peers.knowsMostSeeds()));

        Host second = new Host("host-0", seed, seed);
        awaitReport(first, second.id, 0);

        onLoop(() -> assertTrue(first.peers.knowsMostSeeds()));
        onLoop(() -> assertTrue(second.peers.knowsMostSeeds()));
    }

    @Test
    void placedWorkIsReportedToAllRecipients() throws Exception {
        startHosts(3);
        awaitReport(hosts.get(1), hosts.get(0).id, 0);
        awaitReport(hosts.get(2), hosts.get(0).id, 0);

        onLoop(() -> {
            hosts.get(0).jobs = 4;
            hosts.get(0).reportRecipients = Set.of(hosts.get(1).id, hosts.get(2).id);
            hosts.get(0).peers.workChanged(WorkChange.PLACED);
        });

        awaitReport(hosts.get(1), hosts.get(0).id, 4);
        awaitReport(hosts.get(2), hosts.get(0).id, 4);
    }

    @Test
    void hostsThatAreNotRecipientsGetNoReport() throws Exception {
        startHosts(3);
        awaitReport(hosts.get(1), hosts.get(0).id, 0);
        awaitReport(hosts.get(2), hosts.get(0).id, 0);

        onLoop(() -> {
            hosts.get(0).jobs = 4;
            hosts.get(0).reportRecipients = Set.of(hosts.get(1).id);
            hosts.get(0).peers.workChanged(WorkChange.PLACED);
        });
        awaitReport(hosts.get(1), hosts.get(0).id, 4);
        onLoop(() -> {
            hosts.get(0).jobs = 5;
            hosts.get(0).reportRecipients = Set.of(hosts.get(2).id);
            hosts.get(0).peers.workChanged(WorkChange.PLACED);
        });

        ReceivedReport last;
        do {
            last = hosts.get(2).reports.poll(LIMIT_S, TimeUnit.SECONDS);
            assertTrue(last != null, "host-2 received no report");
            assertTrue(
                    last.jobs() != 4 || !last.host().equals(hosts.get(0).id),
                    "received a report that was for another host");
        } while (last.jobs() != 5);
    }

    @Test
    void crashEvidenceReachesAllHosts() throws Exception {
        startHosts(3);
        awaitEmptyReports(hosts.get(0), hosts.get(1).id, hosts.get(2).id);
        PeerMessage.CrashEvidence evidence = new PeerMessage.CrashEvidence(List.of());

        onLoop(() -> hosts.get(0).peers.sendToAll(evidence));

        assertEquals(evidence, hosts.get(1).evidenceReceived.poll(LIMIT_S, TimeUnit.SECONDS));
        assertEquals(evidence, hosts.get(2).evidenceReceived.poll(LIMIT_S, TimeUnit.SECONDS));
    }

    @Test
    void theNoticeOfALeavingServerReachesAllHosts() throws Exception {
        startHosts(3);
        awaitEmptyReports(hosts.get(0), hosts.get(1).id, hosts.get(2).id);
        BackendIncarnation server = new BackendIncarnation(BackendServerId.of("engine"), 3);

        onLoop(() -> hosts.get(0).peers.announceLeaving(server));

        assertEquals(server, hosts.get(1).leavingServers.poll(LIMIT_S, TimeUnit.SECONDS));
        assertEquals(server, hosts.get(2).leavingServers.poll(LIMIT_S, TimeUnit.SECONDS));
    }

    @Test
    void aHostThatReportsToOthersIsNamedToCallers() throws Exception {
        startHosts(2);
        awaitReport(hosts.get(0), hosts.get(1).id, 0);

        onLoop(() -> {
            assertEquals(
                    List.of(hosts.get(1).id),
                    hosts.get(0).peers.servingPeers(System.nanoTime()).stream()
                            .map(Peer::host)
                            .toList());
        });
    }

    @Test
    void aMessageFromAnotherAddressThanItsSenderClaimsIsIgnored() throws Exception {
        startHosts(2);
        awaitReport(hosts.get(0), hosts.get(1).id, 0);
        Peer forged = new Peer(
                new HostIncarnation(hosts.get(1).id, Long.MAX_VALUE),
                AvailabilityZoneId.of("zone"),
                new PeerAddress("127.0.0.1", 1));
        byte[] datagram = DatagramCodec.encode(forged, new PeerMessage.MembersPull(""));
        try (DatagramSocket socket = new DatagramSocket(0, InetAddress.getLoopbackAddress())) {
            socket.send(new DatagramPacket(datagram, datagram.length, hosts.get(0).address));
        }
        onLoop(() -> {
            hosts.get(0).jobs = 2;
            hosts.get(0).reportRecipients = Set.of(hosts.get(1).id);
            hosts.get(0).peers.workChanged(WorkChange.PLACED);
        });

        awaitReport(hosts.get(1), hosts.get(0).id, 2);
    }

    @Test
    void aSilentHostIsNoLongerASourceOfStoreChanges() throws Exception {
        startHosts(2);
        awaitReport(hosts.get(0), hosts.get(1).id, 0);
        Set<HostId> cell = Set.of(hosts.get(1).id);
        onLoop(() -> {
            hosts.get(1).storeAgeMs = 40;
            hosts.get(1).jobs = 3;
            hosts.get(1).reportRecipients = Set.of(hosts.get(0).id);
            hosts.get(1).peers.workChanged(WorkChange.PLACED);
        });
        awaitReport(hosts.get(0), hosts.get(1).id, 3);

        onLoop(() -> {
            long nowNanos = System.nanoTime();
            assertEquals(1, hosts.get(0).peers.storeAgesMs(cell, nowNanos).size());
            long laterNanos = nowNanos + TimeUnit.MILLISECONDS.toNanos(800);
            assertEquals(List.of(), hosts.get(0).peers.storeAgesMs(cell, laterNanos));
        });
    }

    @Test
    void theListenerIsNotifiedOfTheLiveHosts() throws Exception {
        startHosts(3);

        Set<HostId> known;
        do {
            known = hosts.get(1).liveHostSets.poll(LIMIT_S, TimeUnit.SECONDS);
        } while (known != null && known.size() < 3);

        assertEquals(Set.of(hosts.get(0).id, hosts.get(1).id, hosts.get(2).id), known);
    }

    @Test
    void aHostThatLeavesIsNoLongerNamedToCallersAndItsWorkExpires() throws Exception {
        startHosts(2);
        awaitReport(hosts.get(0), hosts.get(1).id, 0);

        onLoop(hosts.get(1).peers::leave);

        assertEquals(hosts.get(1).id, hosts.get(0).silentHosts.poll(LIMIT_S, TimeUnit.SECONDS));
        onLoop(() -> assertEquals(List.of(), hosts.get(0).peers.servingPeers(System.nanoTime())));
    }
}

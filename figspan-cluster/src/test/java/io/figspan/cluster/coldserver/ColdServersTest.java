package io.figspan.cluster.coldserver;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.figspan.cluster.message.ColdServerUse;
import io.figspan.cluster.message.PeerMessage;
import io.figspan.core.id.BackendIncarnation;
import io.figspan.core.id.BackendServerId;
import io.figspan.core.id.HostId;
import io.figspan.core.id.HostIncarnation;
import java.util.List;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

class ColdServersTest {
    private static final HostId SELF = HostId.of("host-1");
    private static final HostIncarnation OTHER = new HostIncarnation(HostId.of("host-2"), 1);
    private static final BackendIncarnation SERVER = new BackendIncarnation(BackendServerId.of("engine-1"), 1);
    private static final long COLD_MS = 3_000;

    private double requestsPerSecond = 26;
    private final ColdServers servers = new ColdServers(
            SELF,
            new ColdServers.Fleet() {
                @Override
                public double requestsPerSecond(BackendIncarnation server) {
                    return requestsPerSecond;
                }

                @Override
                public Set<HostId> hostsUsing(BackendIncarnation server, Set<HostId> hosts) {
                    return hosts;
                }
            },
            ColdBound.DEFAULT,
            new SplittableRandom(1));

    /** Logical times begin below zero, where the monotonic clock may begin too. */
    private static long atMs(long ms) {
        return TimeUnit.MILLISECONDS.toNanos(ms) - TimeUnit.DAYS.toNanos(1);
    }

    @BeforeEach
    void joinAlone() {
        servers.hostsChanged(Set.of(SELF), true, atMs(-5_000));
    }

    private void stated(long remainingMs, ColdSource source, long nowMs) {
        var unused = servers.stated(SERVER, remainingMs, source, atMs(nowMs));
    }

    private static PeerMessage.ColdServerUses use(BackendIncarnation server, long remainingMs, long ageMs, long sent) {
        return new PeerMessage.ColdServerUses(true, List.of(new ColdServerUse(server, remainingMs, ageMs, sent)));
    }

    private boolean isCold(long nowMs) {
        return servers.coldServers(atMs(nowMs)).contains(SERVER);
    }

    private int admittedAt(long nowMs) {
        int admitted = 0;
        while (admitted < 100 && servers.admits(SERVER, atMs(nowMs))) {
            servers.sent(SERVER, atMs(nowMs));
            admitted++;
        }
        return admitted;
    }

    /** Guards against a burst in the moment in which a server is known to be cold. */
    @Test
    void theRateHoldsFromTheFirstMomentToTheEndOfTheColdTime() {
        stated(COLD_MS, ColdSource.ENTRY, 0);

        assertEquals(0, admittedAt(0));
        assertTrue(admittedAt(2_999) < 4);
        assertEquals(100, admittedAt(COLD_MS));
    }

    /** Guards against requests that were placed before and are written to the cold server together. */
    @Test
    void aRequestThatWasPlacedBeforeTheColdTimeIsNotWrittenInIt() {
        stated(COLD_MS, ColdSource.ENTRY, 0);

        assertFalse(servers.mayWrite(SERVER, atMs(-1), atMs(10)));
        assertTrue(servers.mayWrite(SERVER, atMs(5), atMs(10)));
        assertTrue(servers.mayWrite(SERVER, atMs(-1), atMs(COLD_MS)));
    }

    @Test
    void aLaterStatementReplacesAnEarlierOneInBothDirections() {
        stated(COLD_MS, ColdSource.ENTRY, 0);
        stated(0, ColdSource.ENTRY, 1_000);
        assertFalse(isCold(1_001));

        stated(COLD_MS, ColdSource.RESPONSE, 2_000);
        stated(9_000, ColdSource.RESPONSE, 3_000);
        assertTrue(isCold(11_900));
    }

    /** Guards against an entry that was written before the server became cold and is read after its response. */
    @Test
    void anEntryThatMayBeOlderDoesNotEndAColdTimeThatTheServerNamed() {
        stated(10_000, ColdSource.RESPONSE, 0);
        stated(0, ColdSource.ENTRY, 1_500);
        assertTrue(isCold(1_501));

        stated(0, ColdSource.ENTRY, 2_500);
        assertFalse(isCold(2_501));
    }

    @Test
    void anOlderStatementOfAnotherHostChangesNothing() {
        stated(0, ColdSource.ENTRY, 0);
        stated(COLD_MS, ColdSource.RESPONSE, 1_000);
        stated(0, ColdSource.RESPONSE, 2_000);

        var unused = servers.receive(OTHER, use(SERVER, 2_500, 600, 0), atMs(2_100));

        assertFalse(isCold(2_101));
    }

    /** Guards against a cold time that grows each time that two hosts repeat it to each other. */
    @Test
    void aRepeatedStatementDoesNotMoveTheEndOfTheColdTime() {
        stated(COLD_MS, ColdSource.RESPONSE, 0);
        for (long atMs = 100; atMs <= 2_000; atMs += 100) {
            var unused = servers.receive(OTHER, use(SERVER, COLD_MS - atMs + 50, atMs - 50, 0), atMs(atMs));
        }

        assertFalse(isCold(COLD_MS));
    }

    @Test
    void aHostLearnsOfAColdServerFromAnother() {
        var unused = servers.receive(OTHER, use(SERVER, COLD_MS, 100, 0), atMs(0));

        assertTrue(isCold(1));
        assertEquals(0, admittedAt(1));
    }

    /** Guards against a restarted server that inherits the cold time, or the warmth, of the process before. */
    @Test
    void aRestartedServerIsAnotherIncarnation() {
        stated(0, ColdSource.ENTRY, 0);
        BackendIncarnation restarted = new BackendIncarnation(SERVER.server(), 2);
        var unused = servers.stated(restarted, COLD_MS, ColdSource.ENTRY, atMs(100));

        assertTrue(servers.admits(SERVER, atMs(101)));
        assertFalse(servers.admits(restarted, atMs(101)));

        servers.serversChanged(server -> !server.equals(restarted), atMs(100 + COLD_MS));
        assertTrue(servers.isEmpty());
    }

    /** Guards against a full rate for a cold server whose entry lapsed and returned. */
    @Test
    void aColdServerThatIsNotRegisteredForAWhileStaysLimited() {
        stated(COLD_MS, ColdSource.ENTRY, 0);

        servers.serversChanged(server -> false, atMs(100));

        assertTrue(isCold(101));
    }

    /** Guards against a process that takes the whole rate because it knows no other host. */
    @Test
    void aHostThatHasStartedAndReachesNoOtherSendsNothing() {
        ColdServers started = new ColdServers(SELF, fleetOf(26), ColdBound.DEFAULT, new SplittableRandom(1));
        started.hostsChanged(Set.of(SELF), false, atMs(0));
        var unused = started.stated(SERVER, COLD_MS, ColdSource.ENTRY, atMs(0));

        assertFalse(started.admits(SERVER, atMs(2_900)));
    }

    private static ColdServers.Fleet fleetOf(double rate) {
        return new ColdServers.Fleet() {
            @Override
            public double requestsPerSecond(BackendIncarnation server) {
                return rate;
            }

            @Override
            public Set<HostId> hostsUsing(BackendIncarnation server, Set<HostId> hosts) {
                return hosts;
            }
        };
    }

    /** Guards against a host that takes the part of one that is gone from its view. */
    @Test
    void aHostThatIsGoneKeepsItsPart() {
        servers.hostsChanged(Set.of(SELF, OTHER.host()), true, atMs(-4_000));
        servers.hostsChanged(Set.of(SELF), true, atMs(-1_000));
        stated(10_000, ColdSource.ENTRY, 0);
        int admitted = 0;
        for (int ms = 0; ms < 10_000; ms += 40) {
            admitted += admittedAt(ms);
        }

        assertTrue(admitted <= 26 * 10 / 2 + 3, admitted + " requests in 10 s");
    }

    /** Guards against a rate that stays lower for ever after a host was replaced by one with another id. */
    @Test
    void thePartOfAHostThatHasBeenGoneForLongIsUsedByTheOthers() {
        servers.hostsChanged(Set.of(SELF, OTHER.host()), true, atMs(-4_000));
        servers.hostsChanged(Set.of(SELF), true, atMs(-1_000));
        long laterMs = TimeUnit.NANOSECONDS.toMillis(HostRoster.RETENTION_NANOS);
        var unused = servers.tick(atMs(laterMs));
        stated(10_000, ColdSource.ENTRY, laterMs);
        int admitted = 0;
        for (int ms = 0; ms < 10_000; ms += 40) {
            admitted += admittedAt(laterMs + ms);
        }

        assertTrue(admitted >= 0.8 * 26 * 10, admitted + " requests in 10 s");
    }

    /** Guards against a limit that nobody asked for, and against messages about it. */
    @Test
    void aServerWithoutARateIsNotLimited() {
        requestsPerSecond = 0;
        assertEquals(List.of(), servers.stated(SERVER, COLD_MS, ColdSource.RESPONSE, atMs(0)));

        assertEquals(100, admittedAt(1));
        assertEquals(List.of(), servers.tick(atMs(500)));
    }

    /** Guards against settings that are read after the entry and find no cold time any more. */
    @Test
    void aRateThatIsKnownLaterHoldsForTheRestOfTheColdTime() {
        requestsPerSecond = 0;
        stated(COLD_MS, ColdSource.ENTRY, 0);
        requestsPerSecond = 26;
        servers.serversChanged(server -> true, atMs(0));

        assertTrue(isCold(1));
        assertEquals(0, admittedAt(1));
    }

    @Test
    void theServerWhoseColdTimeEndsFirstIsEvictedFromAFullTable() {
        for (int server = 0; server <= ColdServers.MAX_SERVERS; server++) {
            BackendIncarnation other = new BackendIncarnation(BackendServerId.of("engine-" + server), 2);
            var unused = servers.stated(other, server == 7 ? 500 : COLD_MS, ColdSource.ENTRY, atMs(0));
        }

        Set<BackendIncarnation> cold = servers.coldServers(atMs(1));
        assertEquals(ColdServers.MAX_SERVERS, cold.size());
        assertFalse(cold.contains(new BackendIncarnation(BackendServerId.of("engine-7"), 2)));
    }

    @Test
    void theBeginAndTheEndOfAColdTimeAreAnnouncedOnce() {
        assertEquals(
                List.of(new ColdAction.BecameCold(SERVER, 26, COLD_MS)),
                servers.stated(SERVER, COLD_MS, ColdSource.ENTRY, atMs(0)));
        assertEquals(List.of(), servers.stated(SERVER, COLD_MS, ColdSource.ENTRY, atMs(100)));
        assertEquals(List.of(new ColdAction.BecameWarm(SERVER, 26, 0)), servers.tick(atMs(3_100)));
        assertEquals(List.of(), servers.tick(atMs(3_200)));
    }
}

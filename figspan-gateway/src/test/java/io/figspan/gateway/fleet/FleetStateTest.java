package io.figspan.gateway.fleet;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.figspan.core.error.Problem;
import io.figspan.core.error.ProblemKind;
import io.figspan.core.error.Result;
import io.figspan.core.id.AvailabilityZoneId;
import io.figspan.core.id.BackendServerId;
import io.figspan.core.id.ServiceId;
import io.figspan.core.id.StoreRevision;
import io.figspan.gateway.backend.BackendPools;
import io.figspan.gateway.backend.BackendServer;
import io.figspan.gateway.log.DecisionLog;
import io.figspan.gateway.protocol.FleetProtocol;
import io.figspan.gateway.protocol.StoreProtocol.Item;
import io.figspan.gateway.store.ItemCopy;
import io.figspan.settings.gateway.GatewaySettings;
import io.netty.channel.DefaultEventLoop;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

class FleetStateTest {
    private static final BackendServerId SERVER = BackendServerId.of("s-1");

    private final DefaultEventLoop loop = new DefaultEventLoop();
    private final BackendPools pools = new BackendPools(loop, new DecisionLog());
    private long nowNanos;
    private int changes;
    private final FleetState fleet =
            new FleetState(new TestEntries(), pools, new DecisionLog(), new Listener(), () -> nowNanos);

    @AfterEach
    void stopLoop() {
        loop.shutdownGracefully(0, 0, TimeUnit.MILLISECONDS).syncUninterruptibly();
    }

    @Test
    void aServerRemovedWhileTheStoreIsReachableIsRemovedAtOnce() {
        fleet.serversStoreListener().onChanged(List.of(registered(1)));

        fleet.serversStoreListener().onChanged(List.of(removed(2)));

        assertTrue(pools.find(SERVER).isEmpty());
    }

    @Test
    void aServerMissingFromTheFirstResponseAfterAnOutageIsKeptForAWhile() {
        fleet.serversStoreListener().onChanged(List.of(registered(1)));
        fleet.serversStoreListener().onLost();

        fleet.serversStoreListener().onSnapshot(List.of(), at(5));
        advanceMs(2_000);

        assertTrue(pools.find(SERVER).isPresent());
    }

    @Test
    void aServerStillMissingAfterTheDelayIsRemoved() {
        fleet.serversStoreListener().onChanged(List.of(registered(1)));
        fleet.serversStoreListener().onLost();
        fleet.serversStoreListener().onChanged(List.of(removed(5)));
        int changesBefore = changes;

        advanceMs(2_500);

        assertTrue(pools.find(SERVER).isEmpty());
        assertEquals(changesBefore + 1, changes);
    }

    @Test
    void aServerMissingAloneAfterAnOutageGetsNoNewRequests() {
        fleet.serversStoreListener().onChanged(List.of(registered("s-1", 1), registered("s-2", 2)));
        fleet.serversStoreListener().onLost();

        fleet.serversStoreListener().onChanged(List.of(removed(5)));

        assertEquals(List.of("s-2"), available());
    }

    @Test
    void serversMissingTogetherAfterAnOutageGetRequestsUntilTheDelayEnds() {
        fleet.serversStoreListener()
                .onChanged(List.of(registered("s-1", 1), registered("s-2", 2), registered("s-3", 3)));
        fleet.serversStoreListener().onLost();

        fleet.serversStoreListener().onSnapshot(List.of(registered("s-3", 3)), at(9));

        assertEquals(List.of("s-1", "s-2", "s-3"), available());
        advanceMs(2_500);
        assertEquals(List.of("s-3"), available());
    }

    @Test
    void aMissingServerThatRegistersAgainGetsRequestsAgain() {
        fleet.serversStoreListener().onChanged(List.of(registered("s-1", 1), registered("s-2", 2)));
        fleet.serversStoreListener().onLost();
        fleet.serversStoreListener().onChanged(List.of(removed(5)));

        fleet.serversStoreListener().onChanged(List.of(registered("s-1", 6)));

        assertEquals(List.of("s-1", "s-2"), available());
    }

    @Test
    void aServerThatRegistersAgainWithinTheDelayIsKept() {
        fleet.serversStoreListener().onChanged(List.of(registered(1)));
        fleet.serversStoreListener().onLost();
        fleet.serversStoreListener().onChanged(List.of(removed(5)));
        advanceMs(1_000);

        fleet.serversStoreListener().onChanged(List.of(registered(6)));
        advanceMs(10_000);

        assertTrue(pools.find(SERVER).isPresent());
    }

    @Test
    void aRemovalAfterTheFirstResponseOfTheStoreTakesEffectAtOnce() {
        fleet.serversStoreListener().onChanged(List.of(registered(1)));
        fleet.serversStoreListener().onLost();
        fleet.serversStoreListener().onChanged(List.of());

        fleet.serversStoreListener().onChanged(List.of(removed(5)));

        assertTrue(pools.find(SERVER).isEmpty());
    }

    @Test
    void aRemovalReportedByAnotherHostIsDeferredToo() {
        fleet.serversStoreListener().onChanged(List.of(registered(1)));
        fleet.serversStoreListener().onLost();
        ItemCopy peerCopy = new ItemCopy();
        peerCopy.apply(List.of(registered(1), removed(5)));

        fleet.applyPeerServers(peerCopy.changesAfter(StoreRevision.NONE));

        assertTrue(pools.find(SERVER).isPresent());
    }

    @Test
    void aMalformedEntryRemovesTheServer() {
        fleet.serversStoreListener().onChanged(List.of(registered(1)));

        fleet.serversStoreListener()
                .onChanged(
                        List.of(new Item(SERVER.value(), Optional.of("junk".getBytes(StandardCharsets.UTF_8)), at(2))));

        assertTrue(pools.find(SERVER).isEmpty());
    }

    /** Guards against one entry that keeps the others from being read. */
    @Test
    void anUnexpectedErrorInOneEntryCostsNoOtherEntry() {
        Item fault = new Item("s-1", Optional.of("fault".getBytes(StandardCharsets.UTF_8)), at(1));

        fleet.serversStoreListener().onChanged(List.of(fault, registered("s-2", 2)));

        assertEquals(List.of("s-2"), available());
    }

    private void advanceMs(long ms) {
        nowNanos += TimeUnit.MILLISECONDS.toNanos(ms);
        fleet.tick();
    }

    // A store that returns from an older copy

    private static Item inNextEpoch(String key, long number) {
        return new Item(key, Optional.of("server".getBytes(StandardCharsets.UTF_8)), new StoreRevision(2, number));
    }

    private void restored(Item... copy) {
        fleet.serversStoreListener().onSnapshot(List.of(copy), new StoreRevision(2, 4));
    }

    @Test
    void serversThatTheCopyLacksAreKeptUntilTheyHadTimeToRegisterAgain() {
        fleet.serversStoreListener()
                .onChanged(List.of(registered("s-1", 1), registered("s-2", 7), registered("s-3", 8)));

        restored(inNextEpoch("s-1", 1));
        assertEquals(List.of("s-1", "s-2", "s-3"), available());
        fleet.serversStoreListener().onChanged(List.of(inNextEpoch("s-2", 5)));
        advanceMs(2_500);

        assertEquals(List.of("s-1", "s-2"), available());
    }

    @Test
    void aRemovedServerThatTheCopyHasAgainGetsNothing() {
        fleet.serversStoreListener().onChanged(List.of(registered("s-1", 1), registered("s-2", 2)));
        fleet.serversStoreListener().onChanged(List.of(removed(5)));

        restored(inNextEpoch("s-1", 1), inNextEpoch("s-2", 2));
        assertEquals(List.of("s-2"), available());
        fleet.serversStoreListener().onChanged(List.of(new Item("s-1", Optional.empty(), new StoreRevision(2, 9))));
        advanceMs(10_000);

        assertEquals(List.of("s-2"), available());
    }

    @Test
    void aRemovedServerThatTheCopyHasAgainIsUsedWhenItWritesItsEntryOrKeepsIt() {
        fleet.serversStoreListener().onChanged(List.of(registered("s-1", 1), registered("s-2", 2)));
        fleet.serversStoreListener().onChanged(List.of(removed(5), new Item("s-2", Optional.empty(), at(6))));
        restored(inNextEpoch("s-1", 1), inNextEpoch("s-2", 2));
        assertEquals(List.of(), availableOrNone());

        fleet.serversStoreListener().onChanged(List.of(inNextEpoch("s-1", 6)));
        assertEquals(List.of("s-1"), available());
        advanceMs(5_000);

        assertEquals(List.of("s-1", "s-2"), available());
    }

    private List<String> availableOrNone() {
        return pools.available().isEmpty() ? List.of() : available();
    }

    private List<String> available() {
        return pools.available().get(ServiceId.of("plain")).stream()
                .map(server -> server.id().value())
                .sorted()
                .toList();
    }

    private static Item registered(String key, long revision) {
        return new Item(key, Optional.of("server".getBytes(StandardCharsets.UTF_8)), at(revision));
    }

    private static StoreRevision at(long number) {
        return new StoreRevision(1, number);
    }

    private static Item registered(long revision) {
        return registered(SERVER.value(), revision);
    }

    private static Item removed(long revision) {
        return new Item(SERVER.value(), Optional.empty(), at(revision));
    }

    private final class Listener implements FleetState.FleetListener {
        @Override
        public void onSettings(GatewaySettings settings) {}

        @Override
        public void onServersChanged() {
            changes++;
        }

        @Override
        public void onZonesChanged() {}
    }

    /** Decodes the value "server"; any other value is malformed. */
    private static final class TestEntries implements FleetProtocol {
        @Override
        public String settingsPrefix() {
            return "settings/";
        }

        @Override
        public boolean isSettings(String key) {
            return false;
        }

        @Override
        public Optional<AvailabilityZoneId> evacuatedZone(String key) {
            return Optional.empty();
        }

        @Override
        public Result<GatewaySettings> decodeSettings(byte[] value) {
            throw new UnsupportedOperationException("there are no settings in this test");
        }

        @Override
        public String serversPrefix() {
            return "";
        }

        @Override
        public String serverName(String key) {
            return key;
        }

        @Override
        public Result<BackendServer> decodeServer(String key, byte[] value) {
            if (new String(value, StandardCharsets.UTF_8).equals("fault")) {
                throw new IllegalStateException("a fault of the decoder");
            }
            if (!new String(value, StandardCharsets.UTF_8).equals("server")) {
                return Result.failed(Problem.notRun(ProblemKind.INVALID_VALUE, "junk"));
            }
            return Result.ok(new BackendServer(
                    BackendServerId.of(key),
                    ServiceId.of("plain"),
                    InetSocketAddress.createUnresolved("server", 1),
                    AvailabilityZoneId.of("zone"),
                    4,
                    false,
                    0,
                    1));
        }
    }
}

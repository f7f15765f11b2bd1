package io.figspan.gateway.fleet;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;

import io.figspan.core.error.Problem;
import io.figspan.core.error.ProblemKind;
import io.figspan.core.error.Result;
import io.figspan.core.id.AvailabilityZoneId;
import io.figspan.core.id.SettingsVersion;
import io.figspan.core.id.StoreRevision;
import io.figspan.gateway.backend.BackendPools;
import io.figspan.gateway.backend.BackendServer;
import io.figspan.gateway.log.DecisionLog;
import io.figspan.gateway.protocol.FleetProtocol;
import io.figspan.gateway.protocol.StoreProtocol.Item;
import io.figspan.gateway.store.ItemCopy;
import io.figspan.settings.gateway.CallerAccess;
import io.figspan.settings.gateway.CallerLimits;
import io.figspan.settings.gateway.GatewaySettings;
import io.netty.channel.DefaultEventLoop;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

/** Guards against evacuations that are lost or late between the store's items and the servers' registry. */
class EvacuatedZonesTest {
    private static final String CONFIG = "config";

    private final DefaultEventLoop loop = new DefaultEventLoop();
    private final BackendPools pools = new BackendPools(loop, new DecisionLog());
    private final List<String> events = new ArrayList<>();
    private boolean zoneListenerFails;
    private long nowNanos;
    private final FleetState fleet =
            new FleetState(new Protocol(), pools, new DecisionLog(), new Listener(), () -> nowNanos);

    @AfterEach
    void stopLoop() {
        loop.shutdownGracefully(0, 0, TimeUnit.MILLISECONDS).syncUninterruptibly();
    }

    private static Item item(String key, String value, StoreRevision revision) {
        return new Item(key, Optional.of(value.getBytes(StandardCharsets.UTF_8)), revision);
    }

    private static Item zone(String name, long revision) {
        return item("zones/" + name, "{}", at(revision));
    }

    private static Item removed(String name, long revision) {
        return new Item("zones/" + name, Optional.empty(), at(revision));
    }

    private static StoreRevision at(long number) {
        return new StoreRevision(1, number);
    }

    private boolean isEvacuated(String name) {
        return pools.evacuations().isEvacuated(AvailabilityZoneId.of(name));
    }

    private void advanceMs(long ms) {
        nowNanos += TimeUnit.MILLISECONDS.toNanos(ms);
        fleet.tick();
    }

    /** Guards against a host that starts during an evacuation and sends requests to the zone before it knows of it. */
    @Test
    void theFirstListingEvacuatesTheZoneBeforeTheSettingsLetTheHostSendRequests() {
        fleet.settingsStoreListener().onSnapshot(List.of(item(CONFIG, "", at(3)), zone("a", 4)), at(4));

        assertEquals(List.of("zones [a]", "settings"), events);
    }

    @Test
    void aRemovedItemRestoresTheZone() {
        fleet.settingsStoreListener().onChanged(List.of(zone("a", 4)));
        fleet.settingsStoreListener().onChanged(List.of(removed("a", 5)));

        assertEquals(List.of("zones [a]", "zones []"), events);
    }

    @Test
    void aValueThatIsNoJsonEvacuatesTheZone() {
        fleet.settingsStoreListener().onChanged(List.of(item("zones/a", "\0{", at(4))));

        assertEquals(true, isEvacuated("a"));
    }

    /** Guards against one item with an invalid key that hides the others. */
    @Test
    void aKeyWithoutAValidZoneCostsNoOtherItem() {
        fleet.settingsStoreListener()
                .onChanged(List.of(item("zones/no zone", "{}", at(4)), zone("z", 5), item(CONFIG, "", at(6))));

        assertEquals(List.of("zones [z]", "settings"), events);
    }

    /** Guards against settings that are lost for good because of a fault in the placement of queued requests. */
    @Test
    void theSettingsAreAppliedAlsoAfterAnUnexpectedErrorWithAZone() {
        zoneListenerFails = true;

        assertThrows(IllegalStateException.class, () -> fleet.settingsStoreListener()
                .onChanged(List.of(zone("a", 4), item(CONFIG, "", at(5)))));

        assertEquals(true, isEvacuated("a"));
        assertEquals(List.of("settings"), events);
    }

    @Test
    void anEvacuationIsCopiedFromAnotherHostAndSoIsItsEnd() {
        ItemCopy peer = new ItemCopy();
        peer.apply(List.of(item(CONFIG, "", at(3)), zone("a", 4)));
        fleet.applyPeerSettings(peer.changesAfter(StoreRevision.NONE));
        assertEquals(true, isEvacuated("a"));

        peer.apply(List.of(removed("a", 9)));
        fleet.applyPeerSettings(peer.changesAfter(at(4)));
        assertEquals(false, isEvacuated("a"));
    }

    /** Guards against a host that was partitioned and passes on its older copy. */
    @Test
    void anOlderCopyOfAnotherHostDoesNotEndTheEvacuation() {
        ItemCopy peer = new ItemCopy();
        peer.apply(List.of(item(CONFIG, "", at(3))));
        fleet.settingsStoreListener().onChanged(List.of(zone("a", 4)));

        fleet.applyPeerSettings(peer.changesAfter(StoreRevision.NONE));

        assertEquals(true, isEvacuated("a"));
    }

    // The store's failures

    @Test
    void theEvacuationStaysWhileTheStoreIsLost() {
        fleet.settingsStoreListener().onChanged(List.of(zone("a", 4)));
        fleet.settingsStoreListener().onLost();

        advanceMs(600_000);

        assertEquals(true, isEvacuated("a"));
    }

    private void restoreWithout(StoreRevision revision) {
        fleet.settingsStoreListener().onSnapshot(List.of(item(CONFIG, "", revision)), revision);
    }

    @Test
    void aStoreThatReturnsWithoutTheItemEndsTheEvacuationAfterTenSeconds() {
        fleet.settingsStoreListener().onChanged(List.of(zone("a", 90)));

        restoreWithout(new StoreRevision(2, 40));
        advanceMs(9_900);
        assertEquals(true, isEvacuated("a"));
        advanceMs(100);

        assertEquals(false, isEvacuated("a"));
        assertEquals("zones []", events.get(events.size() - 1));
    }

    /** Guards against the end of an evacuation whose item the operator wrote again while the host could not read it. */
    @Test
    void theDelayDoesNotEndWhileTheStoreIsLost() {
        fleet.settingsStoreListener().onChanged(List.of(zone("a", 90)));
        restoreWithout(new StoreRevision(2, 40));
        fleet.settingsStoreListener().onLost();
        advanceMs(20_000);
        assertEquals(true, isEvacuated("a"));

        fleet.settingsStoreListener().onChanged(List.of(item("zones/a", "{}", new StoreRevision(2, 41))));
        advanceMs(20_000);

        assertEquals(true, isEvacuated("a"));
    }

    @Test
    void aHostThatCopiesFromOthersKeepsTheEvacuationAsLong() {
        ItemCopy peer = new ItemCopy();
        peer.apply(List.of(zone("a", 90)));
        fleet.applyPeerSettings(peer.changesAfter(StoreRevision.NONE));
        peer.applySnapshot(List.of(item(CONFIG, "", new StoreRevision(2, 40))), new StoreRevision(2, 40));

        fleet.applyPeerSettings(peer.changesAfter(at(90)));
        advanceMs(9_900);
        assertEquals(true, isEvacuated("a"));
        advanceMs(100);

        assertEquals(false, isEvacuated("a"));
    }

    private final class Listener implements FleetState.FleetListener {
        @Override
        public void onSettings(GatewaySettings settings) {
            events.add("settings");
        }

        @Override
        public void onServersChanged() {}

        @Override
        public void onZonesChanged() {
            if (zoneListenerFails) {
                throw new IllegalStateException("a fault of the program");
            }
            events.add("zones "
                    + List.of("a", "z").stream()
                            .filter(EvacuatedZonesTest.this::isEvacuated)
                            .toList());
        }
    }

    /** Decodes the keys; the settings are the same whatever their value. */
    private static final class Protocol implements FleetProtocol {
        @Override
        public String settingsPrefix() {
            return "";
        }

        @Override
        public boolean isSettings(String key) {
            return key.equals(CONFIG);
        }

        @Override
        public Optional<AvailabilityZoneId> evacuatedZone(String key) {
            return key.startsWith("zones/")
                    ? Optional.of(AvailabilityZoneId.of(key.substring("zones/".length())))
                    : Optional.empty();
        }

        @Override
        public Result<GatewaySettings> decodeSettings(byte[] value) {
            return Result.ok(new GatewaySettings(
                    new SettingsVersion(1), List.of(), Map.of(), CallerLimits.DEFAULT, CallerAccess.OPEN));
        }

        @Override
        public String serversPrefix() {
            return "servers/";
        }

        @Override
        public String serverName(String key) {
            return key;
        }

        @Override
        public Result<BackendServer> decodeServer(String key, byte[] value) {
            return Result.failed(Problem.notRun(ProblemKind.INVALID_VALUE, "there are no servers in this test"));
        }
    }
}

package io.figspan.gateway.fleet;

import io.figspan.core.error.FigspanException;
import io.figspan.core.error.Result;
import io.figspan.core.event.Part;
import io.figspan.core.id.BackendServerId;
import io.figspan.core.id.StoreRevision;
import io.figspan.gateway.backend.BackendPools;
import io.figspan.gateway.backend.BackendServer;
import io.figspan.gateway.log.DecisionLog;
import io.figspan.gateway.log.StackTraceSummary;
import io.figspan.gateway.protocol.FleetProtocol;
import io.figspan.gateway.protocol.StoreProtocol.Item;
import io.figspan.gateway.store.ItemChanges;
import io.figspan.gateway.store.ItemCopy;
import io.figspan.gateway.store.StoreListener;
import io.figspan.settings.gateway.GatewaySettings;
import java.util.List;
import java.util.Optional;
import java.util.function.LongSupplier;
import java.util.function.Supplier;

/**
 * Keeps copies of the store's items, puts new settings in force, and registers and removes backend servers. All methods
 * run on the event loop.
 */
public final class FleetState {
    private final FleetProtocol protocol;
    private final BackendPools pools;
    private final DecisionLog log;
    private final FleetListener listener;
    private final LongSupplier nanoClock;
    private final RestoredEntries restoredEntries = new RestoredEntries();
    private final DeferredRemovals deferredRemovals = new DeferredRemovals();
    private final ZoneEvacuationTracker evacuations;
    private final ItemCopy settings = new ItemCopy();
    private final ItemCopy servers = new ItemCopy();
    private boolean serversLoaded;
    private boolean storeUnreachable;
    private boolean settingsStoreUnreachable;

    /** Receives new settings and notice of changed servers and zones. */
    public interface FleetListener {
        void onSettings(GatewaySettings settings);

        void onServersChanged();

        /** Other zones are evacuated than before. */
        void onZonesChanged();
    }

    public FleetState(
            FleetProtocol protocol,
            BackendPools pools,
            DecisionLog log,
            FleetListener listener,
            LongSupplier nanoClock) {
        this.protocol = protocol;
        this.pools = pools;
        this.log = log;
        this.listener = listener;
        this.nanoClock = nanoClock;
        this.evacuations = new ZoneEvacuationTracker(protocol, pools.evacuations(), log, listener::onZonesChanged);
    }

    public ItemCopy settings() {
        return settings;
    }

    public ItemCopy servers() {
        return servers;
    }

    /** Whether the registered servers have been read at least once. */
    public boolean areServersLoaded() {
        return serversLoaded;
    }

    public StoreListener settingsStoreListener() {
        return new StoreListener() {
            @Override
            public void onSnapshot(List<Item> items, StoreRevision revision) {
                settingsStoreUnreachable = false;
                settingsChanged(settings.applySnapshot(items, revision));
            }

            @Override
            public void onChanged(List<Item> items) {
                settingsStoreUnreachable = false;
                settingsChanged(settings.apply(items));
            }

            /** The settings and the evacuations stay in force until newer ones arrive. */
            @Override
            public void onLost() {
                settingsStoreUnreachable = true;
            }
        };
    }

    public StoreListener serversStoreListener() {
        return new StoreListener() {
            @Override
            public void onSnapshot(List<Item> items, StoreRevision revision) {
                serversChanged(() -> servers.applySnapshot(items, revision));
                storeUnreachable = false;
            }

            @Override
            public void onChanged(List<Item> items) {
                serversChanged(() -> servers.apply(items));
                storeUnreachable = false;
            }

            @Override
            public void onLost() {
                storeUnreachable = true;
            }
        };
    }

    public void applyPeerSettings(ItemChanges changes) {
        settingsChanged(settings.applyChanges(changes));
    }

    public void applyPeerServers(ItemChanges changes) {
        serversChanged(() -> servers.applyChanges(changes));
    }

    /**
     * Updates the evacuated zones first, since the first settings let this host send requests. The settings are applied
     * also after an unexpected error with a zone.
     */
    private void settingsChanged(List<Item> changes) {
        try {
            evacuations.update(settings, nanoClock.getAsLong());
        } finally {
            changes.forEach(this::settingsItemChanged);
        }
    }

    private void settingsItemChanged(Item item) {
        if (protocol.isSettings(item.key()) && item.value().isPresent()) {
            guarded(item, () -> applySettings(item));
        }
    }

    private void applySettings(Item item) {
        Result<GatewaySettings> decoded = protocol.decodeSettings(item.value().orElseThrow());
        if (decoded instanceof Result.Ok<GatewaySettings> ok) {
            listener.onSettings(ok.value());
        } else if (decoded instanceof Result.Failed<GatewaySettings> failed) {
            log.warn(Part.SETTINGS, "settingsUnreadable")
                    .text("revision", item.revision())
                    .text("reason", failed.problem().detail())
                    .write();
        }
    }

    private void serversChanged(Supplier<List<Item>> update) {
        long epochBefore = servers.revision().epoch();
        List<Item> changes = update.get();
        boolean isRestored = serversLoaded && servers.revision().epoch() > epochBefore;
        boolean isFirst = !serversLoaded;
        serversLoaded = true;
        changes.forEach(item -> guarded(item, () -> serverChanged(item, isRestored)));
        if (isFirst || !changes.isEmpty()) {
            listener.onServersChanged();
        }
    }

    private void serverChanged(Item item, boolean isRestored) {
        if (item.value().isPresent()) {
            entryWritten(item, isRestored);
        } else if (storeUnreachable || isRestored) {
            deferRemoval(item);
        } else {
            remove(item);
        }
    }

    /** Applies the change of one item; an unexpected error costs no other item. */
    private void guarded(Item item, Runnable change) {
        try {
            change.run();
        } catch (RuntimeException e) {
            log.warn(Part.MEMBER, "itemError")
                    .text("key", item.key())
                    .text("revision", item.revision())
                    .text("reason", e)
                    .text("stack", StackTraceSummary.of(e))
                    .write();
        }
    }

    /**
     * Removes the servers whose entries were not written again in time, believes restored entries that stayed, and ends
     * the evacuations whose items were not written again in time.
     */
    public void tick() {
        long nowNanos = nanoClock.getAsLong();
        List<Item> missing = deferredRemovals.takeDue(nowNanos);
        missing.forEach(this::remove);
        List<Item> restored = restoredEntries.takeDue(nowNanos);
        restored.forEach(this::register);
        if (!missing.isEmpty() || !restored.isEmpty()) {
            listener.onServersChanged();
        }
        if (!settingsStoreUnreachable) {
            evacuations.tick(nowNanos);
        }
    }

    private void entryWritten(Item item, boolean isRestored) {
        restoredEntries.cancel(item.key());
        if (isRestored && isOfRemovedServer(item)) {
            restoredEntries.postpone(item, nanoClock.getAsLong());
            log.info(Part.MEMBER, "serverRestored")
                    .text("key", item.key())
                    .text("revision", item.revision())
                    .write();
            return;
        }
        register(item);
    }

    /** Whether an entry describes a server that was removed, or an earlier process of a registered one. */
    private boolean isOfRemovedServer(Item item) {
        return decode(item) instanceof Result.Ok<BackendServer> ok
                && (restoredEntries.wasRemoved(ok.value().incarnation()) || isReplaced(ok.value()));
    }

    private boolean isReplaced(BackendServer server) {
        return pools.find(server.id())
                .filter(known -> known.incarnationNumber() > server.incarnationNumber())
                .isPresent();
    }

    private Result<BackendServer> decode(Item item) {
        return protocol.decodeServer(item.key(), item.value().orElseThrow());
    }

    private void register(Item item) {
        deferredRemovals.cancel(item.key());
        Result<BackendServer> decoded = decode(item);
        if (decoded instanceof Result.Ok<BackendServer> ok) {
            BackendServer server = ok.value();
            pools.put(server);
            log.info(Part.MEMBER, "serverRegistered")
                    .text("server", server.id())
                    .text("service", server.service())
                    .text("address", server.address())
                    .text("leaving", server.isLeaving())
                    .text("revision", item.revision())
                    .write();
        } else if (decoded instanceof Result.Failed<BackendServer> failed) {
            log.warn(Part.MEMBER, "serverUnreadable")
                    .text("key", item.key())
                    .text("reason", failed.problem().detail())
                    .write();
            remove(item);
        }
    }

    private void deferRemoval(Item item) {
        restoredEntries.cancel(item.key());
        deferredRemovals.defer(item, nanoClock.getAsLong());
        serverId(item).ifPresent(pools::markLapsed);
        log.info(Part.MEMBER, "serverLapsed")
                .text("key", item.key())
                .text("revision", item.revision())
                .write();
    }

    private void remove(Item item) {
        deferredRemovals.cancel(item.key());
        restoredEntries.cancel(item.key());
        serverId(item).ifPresent(id -> {
            pools.find(id).map(BackendServer::incarnation).ifPresent(restoredEntries::removed);
            pools.remove(id);
            log.info(Part.MEMBER, "serverRemoved")
                    .text("server", id)
                    .text("revision", item.revision())
                    .write();
        });
    }

    /** The server that is registered under the key of an item; empty, after a log line, if the key names none. */
    private Optional<BackendServerId> serverId(Item item) {
        try {
            return Optional.of(BackendServerId.of(protocol.serverName(item.key())));
        } catch (FigspanException e) {
            log.warn(Part.MEMBER, "serverUnreadable")
                    .text("key", item.key())
                    .text("reason", e.detail())
                    .write();
            return Optional.empty();
        }
    }
}

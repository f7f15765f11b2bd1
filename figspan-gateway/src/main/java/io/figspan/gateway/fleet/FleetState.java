package io.figspan.gateway.fleet;

import io.figspan.core.error.FigspanException;
import io.figspan.core.error.Result;
import io.figspan.core.event.Part;
import io.figspan.core.id.BackendServerId;
import io.figspan.gateway.backend.BackendPools;
import io.figspan.gateway.backend.BackendServer;
import io.figspan.gateway.log.DecisionLog;
import io.figspan.gateway.protocol.FleetProtocol;
import io.figspan.gateway.protocol.StoreProtocol.Item;
import io.figspan.gateway.store.ItemChanges;
import io.figspan.gateway.store.ItemCopy;
import io.figspan.gateway.store.StoreListener;
import io.figspan.settings.gateway.GatewaySettings;
import java.util.List;
import java.util.function.LongSupplier;

/** Keeps copies of the store's items and puts what they say into force. All methods run on the event loop. */
public final class FleetState {
    private final FleetProtocol protocol;
    private final BackendPools pools;
    private final DecisionLog log;
    private final FleetListener listener;
    private final LongSupplier nanoClock;
    private final DeferredRemovals heldRemovals = new DeferredRemovals();
    private final ItemCopy settings = new ItemCopy();
    private final ItemCopy servers = new ItemCopy();
    private boolean serversKnown;
    private boolean serversOutOfReach;

    /** Hears what came into force. */
    public interface FleetListener {
        void onSettings(GatewaySettings settings);

        void onServersChanged();
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
    }

    public ItemCopy settings() {
        return settings;
    }

    public ItemCopy servers() {
        return servers;
    }

    /** Whether the registered servers were read at least once. */
    public boolean areServersLoaded() {
        return serversKnown;
    }

    public StoreListener settingsStoreListener() {
        return new StoreListener() {
            @Override
            public void onSnapshot(List<Item> items, long revision) {
                settingsChanged(settings.applySnapshot(items, revision));
            }

            @Override
            public void onChanged(List<Item> items) {
                settingsChanged(settings.apply(items));
            }

            @Override
            public void onLost() {
                // The settings in force stay until newer ones are heard.
            }
        };
    }

    public StoreListener serversStoreListener() {
        return new StoreListener() {
            @Override
            public void onSnapshot(List<Item> items, long revision) {
                serversChanged(servers.applySnapshot(items, revision));
                serversOutOfReach = false;
            }

            @Override
            public void onChanged(List<Item> items) {
                serversChanged(servers.apply(items));
                serversOutOfReach = false;
            }

            @Override
            public void onLost() {
                serversOutOfReach = true;
            }
        };
    }

    public void applyPeerSettings(ItemChanges changes) {
        settingsChanged(settings.applyChanges(changes));
    }

    public void applyPeerServers(ItemChanges changes) {
        serversChanged(servers.applyChanges(changes));
    }

    private void settingsChanged(List<Item> changes) {
        for (Item item : changes) {
            if (protocol.isSettings(item.key()) && item.value().isPresent()) {
                readSettings(item);
            }
        }
    }

    private void readSettings(Item item) {
        Result<GatewaySettings> read = protocol.decodeSettings(item.value().orElseThrow());
        if (read instanceof Result.Ok<GatewaySettings> ok) {
            listener.onSettings(ok.value());
        } else if (read instanceof Result.Failed<GatewaySettings> failed) {
            log.warn(Part.SETTINGS, "settingsUnreadable")
                    .number("revision", item.revision())
                    .text("reason", failed.problem().detail())
                    .write();
        }
    }

    private void serversChanged(List<Item> changes) {
        boolean first = !serversKnown;
        serversKnown = true;
        for (Item item : changes) {
            if (item.value().isPresent()) {
                put(item);
            } else if (serversOutOfReach) {
                hold(item);
            } else {
                remove(item);
            }
        }
        if (first || !changes.isEmpty()) {
            listener.onServersChanged();
        }
    }

    /** Removes the servers whose entries did not come back in time. */
    public void tick() {
        List<Item> due = heldRemovals.takeDue(nanoClock.getAsLong());
        due.forEach(this::remove);
        if (!due.isEmpty()) {
            listener.onServersChanged();
        }
    }

    private void put(Item item) {
        heldRemovals.cancel(item.key());
        Result<BackendServer> read =
                protocol.decodeServer(item.key(), item.value().orElseThrow());
        if (read instanceof Result.Ok<BackendServer> ok) {
            BackendServer server = ok.value();
            pools.put(server);
            log.info(Part.MEMBER, "serverRegistered")
                    .text("server", server.id())
                    .text("service", server.service())
                    .text("address", server.address())
                    .text("leaving", server.isLeaving())
                    .number("revision", item.revision())
                    .write();
        } else if (read instanceof Result.Failed<BackendServer> failed) {
            log.warn(Part.MEMBER, "serverUnreadable")
                    .text("key", item.key())
                    .text("reason", failed.problem().detail())
                    .write();
            remove(item);
        }
    }

    private void hold(Item item) {
        heldRemovals.hold(item, nanoClock.getAsLong());
        log.info(Part.MEMBER, "serverLapsed")
                .text("key", item.key())
                .number("revision", item.revision())
                .write();
    }

    private void remove(Item item) {
        heldRemovals.cancel(item.key());
        try {
            BackendServerId id = BackendServerId.of(protocol.serverName(item.key()));
            pools.remove(id);
            log.info(Part.MEMBER, "serverRemoved")
                    .text("server", id)
                    .number("revision", item.revision())
                    .write();
        } catch (FigspanException e) {
            log.warn(Part.MEMBER, "serverUnreadable")
                    .text("key", item.key())
                    .text("reason", e.detail())
                    .write();
        }
    }
}

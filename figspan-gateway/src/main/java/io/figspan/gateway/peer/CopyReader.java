package io.figspan.gateway.peer;

import io.figspan.core.error.FigspanException;
import io.figspan.core.event.Part;
import io.figspan.gateway.http.BufferedExchange;
import io.figspan.gateway.http.HttpConnection;
import io.figspan.gateway.log.DecisionLog;
import io.figspan.gateway.store.ItemChanges;
import io.figspan.gateway.store.ItemCopy;
import io.netty.channel.EventLoop;
import java.net.InetSocketAddress;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;

/**
 * Reads another host's copy of the store's items, when this host learns that it lacks changes and the store does not
 * deliver them in time. All methods run on the event loop.
 */
public final class CopyReader {
    /** Path of the copies on the port for other hosts; the name of the copy follows. */
    public static final String PATH = "/copies/";

    /** Query parameter with the revision of the reader's copy. */
    public static final String AFTER = "after";

    /**
     * Wait for the store's own notification, which reaches all watching hosts within a few milliseconds of each other.
     */
    private static final long NOTIFICATION_WAIT_MS = 150;

    private static final int CONNECT_TIMEOUT_MS = 400;
    private static final long RESPONSE_TIMEOUT_MS = 1_000;
    private static final int OK = 200;

    private final EventLoop loop;
    private final DecisionLog log;
    private final String name;
    private final ItemCopy copy;
    private final Consumer<ItemChanges> listener;
    private final BooleanSupplier watchesStore;
    private boolean reading;

    /**
     * Creates a reader.
     *
     * @param name name of the copy
     * @param copy this host's copy
     * @param listener receives the changes that were read
     * @param watchesStore whether this host gets changes from the store itself
     */
    public CopyReader(
            EventLoop loop,
            DecisionLog log,
            String name,
            ItemCopy copy,
            Consumer<ItemChanges> listener,
            BooleanSupplier watchesStore) {
        this.loop = loop;
        this.log = log;
        this.name = name;
        this.copy = copy;
        this.listener = listener;
        this.watchesStore = watchesStore;
    }

    /** Reads the copy of a host that has the given revision, unless this host catches up by itself first. */
    public void onPeerRevision(InetSocketAddress host, long revision) {
        if (reading || revision <= copy.revision()) {
            return;
        }
        reading = true;
        long waitMs = watchesStore.getAsBoolean() ? NOTIFICATION_WAIT_MS : 0;
        var unused = loop.schedule(() -> readIfBehind(host, revision), waitMs, TimeUnit.MILLISECONDS);
    }

    private void readIfBehind(InetSocketAddress host, long revision) {
        if (revision <= copy.revision()) {
            reading = false;
            return;
        }
        read(host);
    }

    private void read(InetSocketAddress host) {
        HttpConnection connection = HttpConnection.open(loop, host, CONNECT_TIMEOUT_MS);
        String target = PATH + name + "?" + AFTER + "=" + copy.revision();
        BufferedExchange.get(loop, connection, target, RESPONSE_TIMEOUT_MS, new BufferedExchange.Listener() {
            @Override
            public void onResponse(int status, byte[] body) {
                connection.close();
                reading = false;
                handleResponse(host, status, body);
            }

            @Override
            public void onFailure(String reason) {
                reading = false;
                log.info(Part.SETTINGS, "copyNotRead")
                        .text("copy", name)
                        .text("host", host)
                        .text("reason", reason)
                        .write();
            }
        });
    }

    private void handleResponse(InetSocketAddress host, int status, byte[] body) {
        if (status != OK) {
            return;
        }
        try {
            ItemChanges changes = ItemChanges.decode(body);
            log.info(Part.SETTINGS, "copyRead")
                    .text("copy", name)
                    .text("host", host)
                    .number("revision", changes.revision())
                    .number("before", copy.revision())
                    .write();
            listener.accept(changes);
        } catch (FigspanException e) {
            log.warn(Part.SETTINGS, "copyRefused")
                    .text("copy", name)
                    .text("host", host)
                    .text("reason", e.detail())
                    .write();
        }
    }
}

package io.figspan.gateway.peer;

import io.figspan.core.error.FigspanException;
import io.figspan.core.event.Part;
import io.figspan.gateway.http.HttpConnection;
import io.figspan.gateway.http.WholeAnswer;
import io.figspan.gateway.log.DecisionLog;
import io.figspan.gateway.store.ItemChanges;
import io.figspan.gateway.store.ItemCopy;
import io.netty.channel.EventLoop;
import java.net.InetSocketAddress;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;

/**
 * Reads the copy that another host has of the store's items, when this host learns that it lacks changes and does not
 * get them from the store in time. All methods run on the event loop.
 */
public final class CopyReader {
    /** Path of a copy on the port for other hosts; the name of the copy follows. */
    public static final String PATH = "/copies/";

    /** Query field with the revision that the reader has. */
    public static final String AFTER = "after";

    /** The store tells all hosts that follow it of a change within a few milliseconds of each other. */
    private static final long PATIENCE_MS = 150;

    private static final int CONNECT_TIMEOUT_MS = 400;
    private static final long ANSWER_TIMEOUT_MS = 1_000;
    private static final int OK = 200;

    private final EventLoop loop;
    private final DecisionLog log;
    private final String name;
    private final ItemCopy copy;
    private final Consumer<ItemChanges> listener;
    private final BooleanSupplier followsStore;
    private boolean busy;

    /**
     * A reader.
     *
     * @param name which copy
     * @param copy this host's copy
     * @param listener takes what was read
     * @param followsStore whether this host hears of changes from the store itself
     */
    public CopyReader(
            EventLoop loop,
            DecisionLog log,
            String name,
            ItemCopy copy,
            Consumer<ItemChanges> listener,
            BooleanSupplier followsStore) {
        this.loop = loop;
        this.log = log;
        this.name = name;
        this.copy = copy;
        this.listener = listener;
        this.followsStore = followsStore;
    }

    /** A host has this revision. */
    public void onPeerRevision(InetSocketAddress host, long revision) {
        if (busy || revision <= copy.revision()) {
            return;
        }
        busy = true;
        long patienceMs = followsStore.getAsBoolean() ? PATIENCE_MS : 0;
        var unused = loop.schedule(() -> readIfBehind(host, revision), patienceMs, TimeUnit.MILLISECONDS);
    }

    private void readIfBehind(InetSocketAddress host, long revision) {
        if (revision <= copy.revision()) {
            busy = false;
            return;
        }
        read(host);
    }

    private void read(InetSocketAddress host) {
        HttpConnection connection = HttpConnection.open(loop, host, CONNECT_TIMEOUT_MS);
        String target = PATH + name + "?" + AFTER + "=" + copy.revision();
        WholeAnswer.get(loop, connection, target, ANSWER_TIMEOUT_MS, new WholeAnswer.Listener() {
            @Override
            public void onAnswer(int status, byte[] body) {
                connection.close();
                busy = false;
                take(host, status, body);
            }

            @Override
            public void onFailure(String reason) {
                busy = false;
                log.info(Part.SETTINGS, "copyNotRead")
                        .text("copy", name)
                        .text("host", host)
                        .text("reason", reason)
                        .write();
            }
        });
    }

    private void take(InetSocketAddress host, int status, byte[] body) {
        if (status != OK) {
            return;
        }
        try {
            ItemChanges read = ItemChanges.decode(body);
            log.info(Part.SETTINGS, "copyRead")
                    .text("copy", name)
                    .text("host", host)
                    .number("revision", read.revision())
                    .number("before", copy.revision())
                    .write();
            listener.accept(read);
        } catch (FigspanException e) {
            log.warn(Part.SETTINGS, "copyRefused")
                    .text("copy", name)
                    .text("host", host)
                    .text("reason", e.detail())
                    .write();
        }
    }
}

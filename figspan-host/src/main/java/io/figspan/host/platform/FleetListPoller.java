package io.figspan.host.platform;

import io.figspan.core.error.FigspanException;
import io.figspan.core.event.Part;
import io.figspan.host.BoundedResponse;
import io.figspan.host.HostContext;
import io.figspan.settings.FleetList;
import io.figspan.settings.cfg.PeerAddress;
import java.util.function.Consumer;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Reads the platform's host list at an interval and keeps the last one while the platform does not answer. */
public final class FleetListPoller {
    private static final Logger LOG = LoggerFactory.getLogger(FleetListPoller.class);
    private static final long INTERVAL_MS = 500;
    private static final long TIMEOUT_MS = 2_000;
    private static final String PATH = "/hosts";

    /** Some 200 bytes for each of a thousand hosts and servers, with room to grow. */
    private static final int MAX_LIST_BYTES = 4 * 1_024 * 1_024;

    private final HostContext context;
    private final Consumer<FleetList> listener;
    private final PlatformClient client;
    private boolean inFlight;
    private boolean failing;

    public FleetListPoller(HostContext context, PeerAddress platform, Consumer<FleetList> listener) {
        this.context = context;
        this.listener = listener;
        this.client = new PlatformClient(context.vertx(), platform, context.metrics());
    }

    public void start() {
        poll();
        context.vertx().setPeriodic(INTERVAL_MS, id -> poll());
    }

    private void poll() {
        if (inFlight) {
            return;
        }
        inFlight = true;
        client.get(PATH, TIMEOUT_MS, response -> BoundedResponse.body(response, MAX_LIST_BYTES))
                .onComplete(result -> {
                    inFlight = false;
                    if (result.succeeded()) {
                        accept(result.result().toString());
                    } else {
                        note(String.valueOf(result.cause().getMessage()));
                    }
                });
    }

    private void accept(String json) {
        try {
            listener.accept(FleetList.fromJson(json));
            failing = false;
        } catch (FigspanException e) {
            note(e.getMessage());
        }
    }

    private void note(String fault) {
        if (!failing) {
            failing = true;
            LOG.warn("{} the host list cannot be read, the last one stays: {}", Part.ENTRY.logPrefix(), fault);
        }
    }
}

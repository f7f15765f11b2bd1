package io.figspan.gateway.backend;

import io.figspan.control.leaving.LeavingRegistry;
import io.figspan.control.leaving.LeavingSource;
import io.figspan.core.event.Part;
import io.figspan.core.id.BackendIncarnation;
import io.figspan.gateway.log.DecisionLog;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;

/**
 * The backend servers that are known to drain, from whatever source. A notice holds for one incarnation of a server and
 * is never taken back. Confined to the event loop.
 */
public final class DrainNotices {
    private final LeavingRegistry registry = new LeavingRegistry(LeavingRegistry.DEFAULT_CAPACITY_SERVERS);
    private final DecisionLog log;
    private final List<Listener> listeners = new ArrayList<>();

    /** Is notified once of each incarnation that drains. */
    public interface Listener {
        void onLeaving(BackendIncarnation server, LeavingSource source);
    }

    DrainNotices(DecisionLog log) {
        this.log = log;
    }

    public void addListener(Listener listener) {
        listeners.add(listener);
    }

    /** Whether a server drains, so that it must get no new requests. */
    public boolean isLeaving(BackendIncarnation server) {
        return !registry.mayTakeNewWork(server);
    }

    /** Records that a server drains. */
    public void record(BackendIncarnation server, LeavingSource source, long nowNanos) {
        if (!registry.onLeaving(server, source, nowNanos)) {
            return;
        }
        log.info(Part.MEMBER, "serverLeaving")
                .text("server", server)
                .text("source", source.name().toLowerCase(Locale.ROOT))
                .write();
        listeners.forEach(listener -> listener.onLeaving(server, source));
    }
}

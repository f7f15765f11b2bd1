package io.figspan.gateway.backend;

import io.figspan.core.event.Part;
import io.figspan.core.id.BackendIncarnation;
import io.figspan.core.id.BackendServerId;
import io.figspan.gateway.log.DecisionLog;
import io.figspan.gateway.protocol.BackendResponse;
import io.figspan.policy.placing.RequestGate;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.concurrent.TimeUnit;

/**
 * The backend servers that have rejected a request of this host and named a time for which they want none from it
 * (Retry-After, RFC 9110, section 10.2.3). An answer to one host says nothing of others. Confined to the event loop.
 */
public final class ServerPauses implements RequestGate {
    /** Bounds the table; the oldest pause is dropped first. */
    static final int MAX_PAUSES = 4_096;

    /** Messages that cross the rejection are expected by the server for this long. */
    static final long START_NANOS = TimeUnit.MILLISECONDS.toNanos(500);

    /** Messages about memory in use that a server gets during a pause, so that short pauses end no running request. */
    static final int MAX_MESSAGES = 2;

    private static final int UNAVAILABLE = 503;

    private final DecisionLog log;
    private final Map<BackendServerId, Pause> pauses = new LinkedHashMap<>();

    private static final class Pause {
        final long startNanos;
        long endNanos;
        int messages;

        Pause(long startNanos) {
            this.startNanos = startNanos;
            this.endNanos = startNanos;
        }
    }

    public ServerPauses(DecisionLog log) {
        this.log = log;
    }

    /** Reads the time from the head of a rejection. */
    void responded(BackendIncarnation server, BackendResponse response, long nowNanos) {
        if (response.status() != UNAVAILABLE || response.retryAfterMs().isEmpty()) {
            return;
        }
        long pauseMs = response.retryAfterMs().getAsLong();
        long endNanos = nowNanos + TimeUnit.MILLISECONDS.toNanos(pauseMs);
        if (endNanos - reopensNanos(server.server(), nowNanos) <= 0) {
            return;
        }
        pause(server.server(), nowNanos).endNanos = endNanos;
        log.info(Part.LIMIT, "serverPaused")
                .text("server", server)
                .number("forMs", pauseMs)
                .write();
    }

    private Pause pause(BackendServerId server, long nowNanos) {
        if (admits(server, nowNanos)) {
            pauses.remove(server);
        }
        if (pauses.size() >= MAX_PAUSES && !pauses.containsKey(server)) {
            pauses.remove(pauses.keySet().iterator().next());
        }
        return pauses.computeIfAbsent(server, ignored -> new Pause(nowNanos));
    }

    /** Ends the pause of a server whose process has ended. */
    void forget(BackendServerId server) {
        pauses.remove(server);
    }

    @Override
    public boolean admits(BackendServerId server, long nowNanos) {
        Pause pause = pauses.get(server);
        return pause == null || nowNanos - pause.endNanos >= 0;
    }

    @Override
    public long reopensNanos(BackendServerId server, long nowNanos) {
        return admits(server, nowNanos) ? nowNanos : pauses.get(server).endNanos;
    }

    @Override
    public void sent(BackendServerId server, long nowNanos) {
        // A server that admits requests is not paused, so nothing is counted.
    }

    /** Whether a message about memory in use may be sent to a server now; a positive result counts it. */
    boolean tryMessage(BackendServerId server, long nowNanos) {
        if (admits(server, nowNanos)) {
            return true;
        }
        Pause pause = pauses.get(server);
        if (nowNanos - pause.startNanos < START_NANOS) {
            return true;
        }
        pause.messages++;
        return pause.messages <= MAX_MESSAGES;
    }
}

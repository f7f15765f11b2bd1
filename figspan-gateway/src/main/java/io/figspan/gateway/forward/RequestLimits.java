package io.figspan.gateway.forward;

import io.figspan.core.event.Part;
import io.figspan.core.id.BackendIncarnation;
import io.figspan.gateway.log.DecisionLog;
import io.figspan.gateway.protocol.BackendResponse;
import java.util.LinkedHashMap;
import java.util.Map;

/** The limits of requests a second that backend servers name in their responses. Confined to the event loop. */
public final class RequestLimits {
    /** Bounds the table; the server whose limit was named first makes room. */
    private static final int MAX_SERVERS = 1_024;

    private final DecisionLog log;
    private final Map<BackendIncarnation, Double> requestsPerSecond = new LinkedHashMap<>();

    public RequestLimits(DecisionLog log) {
        this.log = log;
    }

    /** Reads the limit from the head of a response. A success without one ends the limit of its server. */
    void answered(BackendIncarnation server, BackendResponse response) {
        if (response.wrongServer()) {
            return;
        }
        if (response.requestsPerSecond().isPresent()) {
            limitNamed(server, response.requestsPerSecond().getAsDouble());
        } else if (response.isSuccess() && requestsPerSecond.remove(server) != null) {
            log.info(Part.LIMIT, "serverLimitEnded").text("server", server).write();
        }
    }

    private void limitNamed(BackendIncarnation server, double limit) {
        Double before = requestsPerSecond.put(server, limit);
        if (before == null || before != limit) {
            log.info(Part.LIMIT, "serverLimited")
                    .text("server", server)
                    .text("requestsPerSecond", limit)
                    .write();
        }
        if (requestsPerSecond.size() > MAX_SERVERS) {
            requestsPerSecond.remove(requestsPerSecond.keySet().iterator().next());
        }
    }
}

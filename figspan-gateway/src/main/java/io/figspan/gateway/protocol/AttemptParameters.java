package io.figspan.gateway.protocol;

import io.figspan.core.id.BackendServerId;
import io.figspan.core.id.OrganisationId;
import java.net.InetSocketAddress;
import java.util.List;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.OptionalLong;

/**
 * Parameters of one attempt to send a request to a backend server.
 *
 * @param server the server that must run it; any other server at the same address refuses it
 * @param waitMs time after which the server stops working on it
 * @param organisation owner of the request
 * @param urgency from 0, the most urgent, to 9
 * @param readers servers that help with the prefill of the prompt
 * @param lastEventId id of the last event that the caller has; the response continues after it
 */
public record AttemptParameters(
        BackendServerId server,
        long waitMs,
        Optional<OrganisationId> organisation,
        OptionalInt urgency,
        List<Reader> readers,
        OptionalLong lastEventId) {
    /** A server that helps with the prefill, and the name of its memory reservation for it. */
    public record Reader(InetSocketAddress address, Optional<String> hold) {}

    public AttemptParameters {
        readers = List.copyOf(readers);
    }
}

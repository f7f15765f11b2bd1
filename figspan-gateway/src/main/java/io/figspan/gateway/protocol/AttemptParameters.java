package io.figspan.gateway.protocol;

import io.figspan.core.id.BackendServerId;
import io.figspan.core.id.OrganisationId;
import java.net.InetSocketAddress;
import java.util.List;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.OptionalLong;

/**
 * One sending of a request to a backend server.
 *
 * @param server the server that must run it; another one at the same address refuses it
 * @param waitMs time after which the server stops work
 * @param organisation whose request it is
 * @param urgency from 0, the most urgent, to 9
 * @param readers the servers that help to read the prompt
 * @param lastEventId last event that the caller has; the answer goes on behind it
 */
public record AttemptParameters(
        BackendServerId server,
        long waitMs,
        Optional<OrganisationId> organisation,
        OptionalInt urgency,
        List<Reader> readers,
        OptionalLong lastEventId) {
    /** A server that helps to read the prompt, and the name under which it holds memory for it. */
    public record Reader(InetSocketAddress address, Optional<String> hold) {}

    public AttemptParameters {
        readers = List.copyOf(readers);
    }
}

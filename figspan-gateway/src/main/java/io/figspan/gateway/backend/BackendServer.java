package io.figspan.gateway.backend;

import io.figspan.core.id.AvailabilityZoneId;
import io.figspan.core.id.BackendIncarnation;
import io.figspan.core.id.BackendServerId;
import io.figspan.core.id.ServiceId;
import io.figspan.gateway.http.HostPort;
import java.net.InetSocketAddress;

/**
 * Registration of one backend server.
 *
 * @param id usually changes with each start of the server
 * @param slots number of requests that it processes concurrently
 * @param isLeaving whether it is draining: it finishes its work and accepts no new requests
 * @param warmUpMs remaining time for which it stays cold
 * @param incarnationNumber differs for each process that starts under the id
 */
public record BackendServer(
        BackendServerId id,
        ServiceId service,
        InetSocketAddress address,
        AvailabilityZoneId zone,
        int slots,
        boolean isLeaving,
        long warmUpMs,
        long incarnationNumber) {
    public BackendIncarnation incarnation() {
        return new BackendIncarnation(id, incarnationNumber);
    }

    BackendServer asLeaving() {
        return new BackendServer(id, service, address, zone, slots, true, warmUpMs, incarnationNumber);
    }

    /** Whether the server has this address, given as IP:PORT. */
    public boolean hasAddress(String ipAndPort) {
        return ipAndPort.equals(HostPort.of(address));
    }
}

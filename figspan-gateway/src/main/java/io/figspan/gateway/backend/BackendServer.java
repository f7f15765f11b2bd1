package io.figspan.gateway.backend;

import io.figspan.core.id.AvailabilityZoneId;
import io.figspan.core.id.BackendServerId;
import io.figspan.core.id.ServiceId;
import io.figspan.gateway.http.HostPort;
import java.net.InetSocketAddress;

/**
 * One backend server as it is registered.
 *
 * @param id changes with each start of the server, mostly
 * @param slots requests that it works on at once
 * @param isLeaving whether it finishes its work and takes nothing new
 * @param warmUpMs how much longer it is slow after its start
 */
public record BackendServer(
        BackendServerId id,
        ServiceId service,
        InetSocketAddress address,
        AvailabilityZoneId zone,
        int slots,
        boolean isLeaving,
        long warmUpMs) {
    /** Whether this is its address, written as IP:PORT. */
    public boolean hasAddress(String text) {
        return text.equals(HostPort.of(address));
    }
}

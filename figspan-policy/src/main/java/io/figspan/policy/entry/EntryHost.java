package io.figspan.policy.entry;

import io.figspan.core.id.AvailabilityZoneId;
import io.figspan.core.id.HostId;

/** A configured entry host and its availability zone. */
public record EntryHost(HostId host, AvailabilityZoneId zone) {
    @Override
    public String toString() {
        return host.toString();
    }
}

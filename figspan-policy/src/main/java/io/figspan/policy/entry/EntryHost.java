package io.figspan.policy.entry;

import io.figspan.core.id.AvailabilityZoneId;
import io.figspan.core.id.HostId;

/** A seat of an entry host and the availability zone that it is in. */
public record EntryHost(HostId host, AvailabilityZoneId zone) {
    @Override
    public String toString() {
        return host.toString();
    }
}

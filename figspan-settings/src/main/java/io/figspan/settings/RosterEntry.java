package io.figspan.settings;

import io.figspan.core.id.AvailabilityZoneId;
import io.figspan.core.id.HostId;

/** A seat of an entry host in the roster. A replacement process takes over the seat. */
public record RosterEntry(HostId host, AvailabilityZoneId availabilityZone) {
    @Override
    public String toString() {
        return host + "=" + availabilityZone;
    }
}

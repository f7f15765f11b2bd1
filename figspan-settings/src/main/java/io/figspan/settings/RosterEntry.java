package io.figspan.settings;

import io.figspan.core.id.AvailabilityZoneId;
import io.figspan.core.id.HostId;

/** The roster entry of an entry host: its id and availability zone. A replacement process reuses the entry. */
public record RosterEntry(HostId host, AvailabilityZoneId availabilityZone) {
    @Override
    public String toString() {
        return host + "=" + availabilityZone;
    }
}

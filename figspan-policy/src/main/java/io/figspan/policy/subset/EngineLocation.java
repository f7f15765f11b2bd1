package io.figspan.policy.subset;

import io.figspan.core.id.AvailabilityZoneId;
import io.figspan.core.id.BackendServerId;

/** A runner and the availability zone that it is in. */
public record EngineLocation(BackendServerId server, AvailabilityZoneId zone) {
    @Override
    public String toString() {
        return server.toString();
    }
}

package io.figspan.policy.subset;

import io.figspan.core.id.AvailabilityZoneId;
import io.figspan.core.id.BackendServerId;

/** An engine and its availability zone. */
public record EngineLocation(BackendServerId server, AvailabilityZoneId zone) {
    @Override
    public String toString() {
        return server.toString();
    }
}

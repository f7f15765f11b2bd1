package io.figspan.control.steward;

import io.figspan.core.id.AvailabilityZoneId;
import io.figspan.core.id.BackendServerId;

/** One engine available to the plan: it is in the host list and not leaving. */
public record PlannedEngine(BackendServerId engine, AvailabilityZoneId availabilityZone) {}

package io.figspan.control.steward;

import io.figspan.core.id.AvailabilityZoneId;
import io.figspan.core.id.BackendServerId;

/** One engine of the published list that stays in service. */
public record PlannedEngine(BackendServerId engine, AvailabilityZoneId availabilityZone) {}

package io.figspan.control.hold;

import io.figspan.core.id.AvailabilityZoneId;
import io.figspan.core.id.BackendIncarnation;

/** One engine of a group, and the memory to reserve on it, in tokens of KV cache. */
public record GroupMember(BackendIncarnation engine, AvailabilityZoneId availabilityZone, long tokens) {}

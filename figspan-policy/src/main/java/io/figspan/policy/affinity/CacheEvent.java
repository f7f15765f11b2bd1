package io.figspan.policy.affinity;

import io.figspan.core.id.BackendServerId;

/**
 * A cache event of an engine. Events come late and with gaps.
 *
 * @param sequence number of the event on its engine, rising by one
 * @param stored true when the prefix was cached, false when it was evicted
 */
public record CacheEvent(BackendServerId server, long sequence, long prefixHash, boolean stored) {}

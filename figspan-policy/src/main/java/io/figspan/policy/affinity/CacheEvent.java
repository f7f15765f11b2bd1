package io.figspan.policy.affinity;

import io.figspan.core.id.BackendServerId;

/**
 * A change of the prefix cache of an engine. Events may be delayed or lost.
 *
 * @param sequence sequence number of the event on its engine, incremented by one per event
 * @param stored true if the prefix was cached, false if it was evicted
 */
public record CacheEvent(BackendServerId server, long sequence, long prefixHash, boolean stored) {}

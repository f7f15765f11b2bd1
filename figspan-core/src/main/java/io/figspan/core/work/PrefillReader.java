package io.figspan.core.work;

import io.figspan.core.id.BackendServerId;

/**
 * An engine that reads a part of a prompt for another one.
 *
 * @param heldTokens memory that it holds for the request; 0 when the engine that runs the request holds all
 */
public record PrefillReader(BackendServerId server, long heldTokens) {}

package io.figspan.core.work;

import io.figspan.core.id.BackendServerId;

/**
 * An engine that prefills part of a prompt on behalf of the engine that runs the request.
 *
 * @param heldTokens KV cache memory that it holds for the request, in tokens; 0 if the engine that runs the request
 *     holds all of it
 */
public record PrefillReader(BackendServerId server, long heldTokens) {}

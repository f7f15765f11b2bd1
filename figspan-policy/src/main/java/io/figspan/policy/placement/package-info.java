/** Load views and the choice of the engine for a prompt. */
package io.figspan.policy.placement;

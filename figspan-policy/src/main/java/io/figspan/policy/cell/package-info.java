/** Partition of a large fleet into cells that place requests independently of each other. */
package io.figspan.policy.cell;

/** Division of a large fleet into parts that place requests independently of each other. */
package io.figspan.policy.cell;

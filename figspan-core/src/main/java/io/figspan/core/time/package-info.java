/** Clocks, deadlines and timestamps. */
package io.figspan.core.time;

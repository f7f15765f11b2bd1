/** Ids, clocks, results, errors, state charts and the event time line. */
package io.figspan.core;

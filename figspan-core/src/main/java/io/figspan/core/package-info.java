/** Identifiers, clocks, results, errors, state charts, metrics and the event timeline. */
package io.figspan.core;

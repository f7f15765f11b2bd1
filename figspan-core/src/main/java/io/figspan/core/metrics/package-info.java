/** Metrics as text. */
package io.figspan.core.metrics;

/** Counters, latencies and processor time of the gateway. */
package io.figspan.gateway.metrics;

/** Counters and latencies of the gateway. */
package io.figspan.gateway.metrics;

/** Text format of metrics. */
package io.figspan.core.metrics;

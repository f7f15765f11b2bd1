/** Structured logs: one line of JSON for each decision. */
package io.figspan.gateway.log;

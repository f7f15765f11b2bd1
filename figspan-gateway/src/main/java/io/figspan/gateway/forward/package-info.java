/** Forwards the requests of callers to backend servers. */
package io.figspan.gateway.forward;

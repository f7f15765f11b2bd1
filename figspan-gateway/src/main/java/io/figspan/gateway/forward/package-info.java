/** Forwarding of one caller's request to backend servers. */
package io.figspan.gateway.forward;

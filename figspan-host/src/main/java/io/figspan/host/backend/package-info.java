/** Clients of the backend servers and the host's view of their load. */
package io.figspan.host.backend;

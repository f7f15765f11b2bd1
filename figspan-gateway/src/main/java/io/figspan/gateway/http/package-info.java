/** HTTP client connections that carry one exchange at a time, a minimal HTTP server and bounded buffering of bodies. */
package io.figspan.gateway.http;

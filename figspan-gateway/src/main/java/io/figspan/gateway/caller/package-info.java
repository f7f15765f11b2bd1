/** The HTTP server for callers. */
package io.figspan.gateway.caller;

/** The port that callers connect to. */
package io.figspan.gateway.caller;

/** Drivers that run the protocols between hosts over the peer port. */
package io.figspan.host.peer;

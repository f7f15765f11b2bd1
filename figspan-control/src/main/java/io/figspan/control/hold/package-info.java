/** Holds on engine memory: this host's ledger, group reservations and the sweep of what engines list. */
package io.figspan.control.hold;

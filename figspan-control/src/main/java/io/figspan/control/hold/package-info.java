/** Holds, that is reservations of engine memory: their ledger, group reservations and the release of orphaned holds. */
package io.figspan.control.hold;

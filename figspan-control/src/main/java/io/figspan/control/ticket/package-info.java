/** Tickets, which make non-idempotent calls run at most once: their encoding, the owner's table and the state chart. */
package io.figspan.control.ticket;

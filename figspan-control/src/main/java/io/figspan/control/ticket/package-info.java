/** Tickets of non-idempotent calls: the text form, the owner's table and its state chart. */
package io.figspan.control.ticket;

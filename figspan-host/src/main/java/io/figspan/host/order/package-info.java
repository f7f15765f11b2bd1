/** Driver of tickets and orders: carries out what the ticket owner decides. */
package io.figspan.host.order;

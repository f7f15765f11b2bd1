/**
 * State machines of the protocols with callers and backend servers, without I/O: tickets, holds on engine memory, group
 * reservations, prompt requests, leaving backend servers and model orders. They get the time as an argument and return
 * the actions that a driver has to carry out.
 */
package io.figspan.control;

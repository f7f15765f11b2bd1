/** Interfaces by which an adapter translates the messages of callers, backend servers, the store and operators. */
package io.figspan.gateway.protocol;

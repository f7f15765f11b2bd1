/** Interfaces that an adapter implements to translate the messages of callers, backend servers, the store and operators. */
package io.figspan.gateway.protocol;

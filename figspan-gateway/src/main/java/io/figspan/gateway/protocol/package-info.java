/** What an adapter translates: the messages of callers, backend servers and the store of settings. */
package io.figspan.gateway.protocol;

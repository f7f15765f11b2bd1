/** Client of the read-only store that holds the settings and the registered backend servers. */
package io.figspan.gateway.store;

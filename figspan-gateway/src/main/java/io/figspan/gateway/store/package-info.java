/** Following a store that can only be read: the newest settings and the registered backend servers. */
package io.figspan.gateway.store;

/** This host's view of the fleet: the settings in force and the registered backend servers. */
package io.figspan.gateway.fleet;

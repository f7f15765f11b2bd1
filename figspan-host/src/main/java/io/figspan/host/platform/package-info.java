/** Readers of what the platform publishes: the host list and the configuration service. */
package io.figspan.host.platform;

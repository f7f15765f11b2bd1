/** Settings of the gateway: routes, services, callers' limits and the keys of organisations. */
package io.figspan.settings.gateway;

/** The gateway of one host: takes requests of callers and forwards them to backend servers. */
package io.figspan.gateway;

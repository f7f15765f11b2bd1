/** The gateway of one host: accepts requests of callers and forwards them to backend servers. */
package io.figspan.gateway;

/** Stand-ins for the platform and its backend servers: small servers that speak the same protocols. */
package io.figspan.standin;

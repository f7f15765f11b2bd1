/** Small stand-ins for the platform and its backend servers. */
package io.figspan.standin;

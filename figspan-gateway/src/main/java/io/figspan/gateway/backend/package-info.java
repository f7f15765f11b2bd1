/** Registry of the backend servers, connection pools to them and leases on engine memory. */
package io.figspan.gateway.backend;

/** Finds the requests and prompt parts that crash backend servers, and keeps them from the servers. */
package io.figspan.cluster.quarantine;

/** Messages between hosts, and the value types they consist of. */
package io.figspan.cluster.message;

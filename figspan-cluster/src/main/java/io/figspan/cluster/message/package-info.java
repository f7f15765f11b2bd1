/** Messages between hosts and the value types that they are made of. */
package io.figspan.cluster.message;

/** Decisions about reading copies of the store's items from other hosts. */
package io.figspan.cluster.copy;

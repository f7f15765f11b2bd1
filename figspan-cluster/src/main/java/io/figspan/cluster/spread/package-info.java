/** Dissemination of settings versions between hosts. */
package io.figspan.cluster.spread;

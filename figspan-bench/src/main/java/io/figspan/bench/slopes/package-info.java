/** Costs of the protocols between hosts by fleet size. */
package io.figspan.bench.slopes;

/**
 * {@code bin/bench faults}: one guarantee of the design page at a time, with the real decision classes of one to three
 * processes, fakes for everything else and seeded faults in logical time. Also holds the naive versions that the real
 * ones are compared with.
 */
package io.figspan.bench.faults;

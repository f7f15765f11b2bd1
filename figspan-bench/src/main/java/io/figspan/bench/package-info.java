/** Benchmarks: policy, faults, slopes and micro. */
package io.figspan.bench;

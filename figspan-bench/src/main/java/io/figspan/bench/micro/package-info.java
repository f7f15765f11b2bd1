/** JMH benchmarks of single decisions. */
package io.figspan.bench.micro;

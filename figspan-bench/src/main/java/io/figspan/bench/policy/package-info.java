/** Driver for the decisions under load, in logical time. */
package io.figspan.bench.policy;

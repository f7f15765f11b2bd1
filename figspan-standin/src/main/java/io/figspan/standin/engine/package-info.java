/**
 * Stand-in for a model engine, with continuous batching, limited KV memory, resumable streams, holds, load reports and
 * model orders.
 */
package io.figspan.standin.engine;

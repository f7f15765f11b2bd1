/** Stand-in for a model engine: continuous batching, finite KV memory, streams, holds, reports and model orders. */
package io.figspan.standin.engine;

/** Simulation of a model engine, and forecasts of prefill times and of the loss caused by late answers. */
package io.figspan.policy.engine;

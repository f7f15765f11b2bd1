/** Placement of models on engines: the plan, and the reconciler that orders engines to load and unload models. */
package io.figspan.control.steward;

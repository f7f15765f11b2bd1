/** How a model engine works through its requests, and what becomes of a request that is added. */
package io.figspan.policy.engine;

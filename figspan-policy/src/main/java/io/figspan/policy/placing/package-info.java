/** Placement of requests on backend servers: selection of servers, queueing, admission control and refusal. */
package io.figspan.policy.placing;

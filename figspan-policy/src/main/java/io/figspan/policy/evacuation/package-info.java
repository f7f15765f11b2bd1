/** Availability zones whose backend servers get no new requests. */
package io.figspan.policy.evacuation;

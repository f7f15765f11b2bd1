/** Recovery after the failure of an engine or an availability zone. */
package io.figspan.policy.recovery;

/** Decisions after an engine or an availability zone failed. */
package io.figspan.policy.recovery;

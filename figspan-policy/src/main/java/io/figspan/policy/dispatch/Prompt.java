package io.figspan.policy.dispatch;

import io.figspan.core.id.OrganisationId;
import io.figspan.core.time.Deadline;
import io.figspan.policy.fair.PriorityClass;
import io.figspan.policy.placement.PromptCost;

/**
 * A prompt to be dispatched.
 *
 * @param id unique on this host
 * @param arrivedNanos arrival time on the host's monotonic clock
 */
public record Prompt(
        long id,
        OrganisationId organisation,
        PriorityClass priority,
        PromptCost cost,
        Deadline deadline,
        long arrivedNanos) {}

package io.figspan.policy.dispatch;

import io.figspan.core.error.Problem;
import io.figspan.core.id.BackendServerId;
import java.util.List;

/** What the host does with a prompt. */
public sealed interface DispatchAction {
    Prompt prompt();

    /**
     * Send the prompt to an engine now.
     *
     * @param priorityDelayMs priority on the engine, which serves in the order of its own time of receipt plus this
     *     delay; negative for a prompt that has waited on the host
     */
    record Send(Prompt prompt, BackendServerId server, long priorityDelayMs) implements DispatchAction {}

    /**
     * Acquire a hold on each engine of a group, then send the prompt's segments to them in this order.
     *
     * @param servers engines in ascending order of their ids
     * @param kvTokensEach memory to hold on each engine
     */
    record SendGroup(Prompt prompt, List<BackendServerId> servers, long kvTokensEach, long priorityDelayMs)
            implements DispatchAction {
        public SendGroup {
            servers = List.copyOf(servers);
        }
    }

    /** Answer the prompt with a problem now; nothing of it was run. */
    record Refuse(Prompt prompt, Problem problem) implements DispatchAction {}
}

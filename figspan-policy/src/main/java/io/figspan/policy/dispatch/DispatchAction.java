package io.figspan.policy.dispatch;

import io.figspan.core.error.Problem;
import io.figspan.core.id.BackendServerId;
import java.util.List;

/** Action that a host takes for a prompt. */
public sealed interface DispatchAction {
    Prompt prompt();

    /**
     * Sends the prompt to an engine immediately.
     *
     * @param priorityDelayMs priority on the engine, which runs prompts in the order of their receipt time plus this
     *     delay; can be negative for a prompt that has queued on the host
     */
    record Send(Prompt prompt, BackendServerId server, long priorityDelayMs) implements DispatchAction {}

    /**
     * Reserves memory (a hold) on each engine of a group, then sends the prompt's segments to the engines in this
     * order.
     *
     * @param servers engines in ascending order of ids, so that concurrent reservations cannot deadlock
     * @param kvTokensEach KV cache tokens to reserve on each engine
     */
    record SendGroup(Prompt prompt, List<BackendServerId> servers, long kvTokensEach, long priorityDelayMs)
            implements DispatchAction {
        public SendGroup {
            servers = List.copyOf(servers);
        }
    }

    /** Refuses the prompt with a problem without having run any part of it. */
    record Refuse(Prompt prompt, Problem problem) implements DispatchAction {}
}

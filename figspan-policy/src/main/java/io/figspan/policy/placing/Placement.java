package io.figspan.policy.placing;

import io.figspan.core.error.Problem;
import io.figspan.core.id.BackendServerId;
import io.figspan.core.work.PrefillReader;
import java.util.List;
import java.util.OptionalInt;

/** A decision of a {@link Placer} on one job. */
public sealed interface Placement {
    Job job();

    /** The inputs of the decision, for the log. */
    String reason();

    /**
     * Sends the job to a server.
     *
     * @param urgency from 0, the most urgent, to 9; empty when none is sent
     * @param readers helpers that prefill shares of the prompt; those that hold memory for it come first
     */
    record Send(Job job, BackendServerId server, OptionalInt urgency, List<PrefillReader> readers, String reason)
            implements Placement {
        public Send {
            readers = List.copyOf(readers);
        }
    }

    /** Rejects the job: its caller gets the problem at once. */
    record Refuse(Job job, Problem problem, String reason) implements Placement {}
}

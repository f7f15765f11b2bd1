package io.figspan.policy.placing;

import io.figspan.core.error.Problem;
import io.figspan.core.id.BackendServerId;
import io.figspan.core.work.PrefillReader;
import java.util.List;
import java.util.OptionalInt;

/** What is to be done with a job. */
public sealed interface Placement {
    Job job();

    /** The inputs that decided, for the log. */
    String reason();

    /**
     * Sends the job.
     *
     * @param urgency from 0, the most urgent, to 9
     * @param readers servers that help to read the prompt; those that hold memory for it come first
     */
    record Send(Job job, BackendServerId server, OptionalInt urgency, List<PrefillReader> readers, String reason)
            implements Placement {
        public Send {
            readers = List.copyOf(readers);
        }
    }

    /** Answers the job with a problem at once. */
    record Refuse(Job job, Problem problem, String reason) implements Placement {}
}

package io.figspan.control.ticket;

import io.figspan.core.error.Problem;
import io.figspan.core.error.RunState;

/** What a caller is told about a ticket. */
public sealed interface OrderOutcome {
    RunState run();

    TicketState state();

    /** The service answered. Its own server error leaves open whether the call ran. */
    record Answered(ServiceAnswer answer) implements OrderOutcome {
        @Override
        public RunState run() {
            return answer.isServerError() ? RunState.UNKNOWN : RunState.RAN;
        }

        @Override
        public TicketState state() {
            return TicketState.ANSWERED;
        }
    }

    /** There is no answer of the service; the problem says whether the call was run. */
    record Unanswered(Problem problem, TicketState state) implements OrderOutcome {
        @Override
        public RunState run() {
            return problem.run();
        }
    }
}

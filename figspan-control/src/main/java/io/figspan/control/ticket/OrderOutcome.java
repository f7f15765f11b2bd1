package io.figspan.control.ticket;

import io.figspan.core.error.Problem;
import io.figspan.core.error.RunState;

/** Outcome of a ticket, as reported to callers. */
public sealed interface OrderOutcome {
    RunState run();

    TicketState state();

    /** The service answered. After a server error (5xx) it is unknown whether the call ran. */
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

    /** No answer of the service is available; the problem states whether the call ran. */
    record Unanswered(Problem problem, TicketState state) implements OrderOutcome {
        @Override
        public RunState run() {
            return problem.run();
        }
    }
}

package io.figspan.gateway.forward;

import io.figspan.core.chart.StateChart;
import io.figspan.core.error.Result;

/** State of one request. An event that the state chart does not allow is logged and leaves the state as it is. */
final class CallStateMachine {
    private static final StateChart<CallState, CallEvent> CHART =
            StateChart.load("/charts/forward-call.toml", CallState.class, CallEvent.class);

    private final CallLog log;
    private CallState state = CHART.initial();

    CallStateMachine(CallLog log) {
        this.log = log;
    }

    void transition(CallEvent event) {
        if (CHART.next(state, event) instanceof Result.Ok<CallState> next) {
            state = next.value();
        } else {
            log.unexpectedEvent(state, event);
        }
    }

    /** Whether the caller has received its final response or has disconnected. */
    boolean isDone() {
        return state == CallState.DONE;
    }

    /** Whether the caller has received a part of a streamed response that is not complete yet. */
    boolean hasBegunResponse() {
        return state == CallState.ANSWERING || state == CallState.RESUMING;
    }
}

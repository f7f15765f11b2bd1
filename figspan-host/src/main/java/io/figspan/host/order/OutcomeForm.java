package io.figspan.host.order;

import io.figspan.control.ticket.OrderOutcome;
import io.figspan.control.ticket.ServiceAnswer;
import io.figspan.core.error.Problem;
import io.figspan.core.error.RunState;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpServerResponse;
import io.vertx.core.json.Json;

/** HTTP form of an outcome: the service's answer unchanged, or a problem document. */
record OutcomeForm(int status, String mediaType, Buffer body, long retryAfterSeconds) {
    /** Tells on every answer whether the order was run, also when the body is the service's own. */
    static final String RUN_HEADER = "Figspan-Run";

    private static final int FIRST_SERVER_ERROR = 500;

    static OutcomeForm of(OrderOutcome outcome) {
        if (outcome instanceof OrderOutcome.Answered answered) {
            ServiceAnswer answer = answered.answer();
            return new OutcomeForm(
                    answer.status(),
                    answer.mediaType(),
                    Buffer.buffer(answer.body().toBytes()),
                    0);
        }
        return of(((OrderOutcome.Unanswered) outcome).problem());
    }

    static OutcomeForm of(Problem problem) {
        return new OutcomeForm(
                problem.kind().httpStatus(),
                Problem.MEDIA_TYPE,
                Json.encodeToBuffer(problem.toMembers()),
                problem.retryAfterSeconds());
    }

    void write(HttpServerResponse response) {
        if (response.ended() || response.closed()) {
            return;
        }
        response.setStatusCode(status).putHeader("Content-Type", mediaType).putHeader(RUN_HEADER, run());
        if (retryAfterSeconds > 0) {
            response.putHeader("Retry-After", Long.toString(retryAfterSeconds));
        }
        response.end(body);
    }

    /** Whether the order was run, in the words of problem documents. */
    String run() {
        if (mediaType.startsWith(Problem.MEDIA_TYPE)) {
            return body.toJsonObject().getString("run", RunState.UNKNOWN.wireName());
        }
        return (status < FIRST_SERVER_ERROR ? RunState.RAN : RunState.UNKNOWN).wireName();
    }
}

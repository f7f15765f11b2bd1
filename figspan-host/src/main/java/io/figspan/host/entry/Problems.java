package io.figspan.host.entry;

import io.figspan.core.error.Problem;
import io.vertx.core.http.HttpServerResponse;
import io.vertx.core.json.Json;

/** Writes problem documents (RFC 9457). */
public final class Problems {
    private Problems() {}

    /** Ends the response with a problem document, unless it has ended or its connection is closed. */
    public static void write(HttpServerResponse response, Problem problem) {
        if (response.ended() || response.closed()) {
            return;
        }
        response.setStatusCode(problem.kind().httpStatus()).putHeader("Content-Type", Problem.MEDIA_TYPE);
        if (problem.retryAfterMs() > 0) {
            response.putHeader("Retry-After", Long.toString(problem.retryAfterSeconds()));
        }
        response.end(Json.encode(problem.toMembers()));
    }
}

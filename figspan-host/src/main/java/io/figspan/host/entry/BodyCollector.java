package io.figspan.host.entry;

import io.figspan.core.error.Problem;
import io.figspan.core.error.ProblemKind;
import io.figspan.core.error.Result;
import io.vertx.core.Future;
import io.vertx.core.Promise;
import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpServerRequest;

/** Reads a request body with a bound on its size and on the time that a sender may take. */
final class BodyCollector {
    private final Buffer body = Buffer.buffer();
    private final Promise<Result<Buffer>> done = Promise.promise();
    private final int maxBytes;

    private BodyCollector(int maxBytes) {
        this.maxBytes = maxBytes;
    }

    /**
     * Collects the body. The future fails only when the caller's connection ends; a body that is too long or too slow
     * gives a problem.
     */
    static Future<Result<Buffer>> collect(Vertx vertx, HttpServerRequest request, int maxBytes, long maxMs) {
        BodyCollector collector = new BodyCollector(maxBytes);
        String declared = request.getHeader("Content-Length");
        if (declared != null && declared.length() > 9) {
            collector.fail(ProblemKind.BODY_TOO_LARGE, "declared length is more than " + maxBytes + " bytes");
        }
        long timer = vertx.setTimer(
                maxMs,
                id -> collector.fail(ProblemKind.MALFORMED_BODY, "the body was not complete after " + maxMs + " ms"));
        request.handler(collector::append);
        request.exceptionHandler(cause -> collector.done.tryFail(cause));
        request.endHandler(nothing -> collector.done.tryComplete(Result.ok(collector.body)));
        return collector.done.future().onComplete(result -> vertx.cancelTimer(timer));
    }

    private void append(Buffer chunk) {
        if (done.future().isComplete()) {
            return;
        }
        if (body.length() + chunk.length() > maxBytes) {
            fail(ProblemKind.BODY_TOO_LARGE, "body is longer than " + maxBytes + " bytes");
            return;
        }
        body.appendBuffer(chunk);
    }

    private void fail(ProblemKind kind, String detail) {
        done.tryComplete(Result.failed(Problem.notRun(kind, detail)));
    }
}

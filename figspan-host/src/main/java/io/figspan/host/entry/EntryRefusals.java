package io.figspan.host.entry;

import io.figspan.core.error.Problem;
import io.figspan.core.error.ProblemKind;
import io.figspan.core.error.Result;
import io.figspan.core.error.RunState;
import io.figspan.core.event.Part;
import io.figspan.host.HostContext;
import io.vertx.core.http.HttpServerRequest;
import java.util.function.LongPredicate;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** The refusals of requests that have not begun, also those of a host that stops. */
final class EntryRefusals {
    private static final Logger LOG = LoggerFactory.getLogger(EntryRefusals.class);
    private static final String PREFIX = Part.ENTRY.logPrefix();

    private final HostContext context;
    private final LongPredicate admission;

    /**
     * Creates the refusals of one caller port.
     *
     * @param admission whether a request that may take this long, in milliseconds, ends before the process exits
     */
    EntryRefusals(HostContext context, LongPredicate admission) {
        this.context = context;
        this.admission = admission;
    }

    /**
     * Refuses a request before its handler saw it. That says nothing about an order's ticket or a stream to resume,
     * which an earlier call may have run, so {@code notRun} would be false there.
     */
    static void refuse(HttpServerRequest request, Problem problem) {
        boolean mayHaveRun =
                request.path().startsWith("/v1/orders") || request.path().equals("/v1/completions/stream");
        Problems.write(request.response(), mayHaveRun ? problem.withRun(RunState.UNKNOWN) : problem);
    }

    /** Refuses a request whose deadline is later than this host can serve it, and returns whether it goes on. */
    boolean admits(HttpServerRequest request, RequestHead head, long deadlineMs) {
        if (admission.test(deadlineMs)) {
            return true;
        }
        LOG.info(
                "{} request {} refused: it may take {} ms, and this host stops before that",
                PREFIX,
                head.request(),
                deadlineMs);
        refuseForStop(request, "this host stops before the deadline of the request");
        return false;
    }

    /** Refuses a request that is still arriving when the process exits, and closes its connection. */
    void refuseUnstarted(HttpServerRequest request) {
        LOG.info("{} request {} refused: the process exits before it has begun", PREFIX, nameOf(request));
        request.response().putHeader("Connection", "close");
        refuseForStop(request, "this host stops before the request has begun");
    }

    private void refuseForStop(HttpServerRequest request, String reason) {
        context.count("requests.refused.shuttingDown");
        refuse(request, Problem.notRun(ProblemKind.SHUTTING_DOWN, reason).withRetryAfterMs(1));
    }

    /** The caller's id of a request, as far as it names one; else its path. */
    private static String nameOf(HttpServerRequest request) {
        return RequestHead.parse(request.headers(), request.path()) instanceof Result.Ok<RequestHead> head
                ? head.value().request().value()
                : request.path();
    }
}

package io.figspan.host.entry;

import io.figspan.control.resume.ResumeToken;
import io.figspan.control.resume.ResumeTokenCodec;
import io.figspan.core.error.Problem;
import io.figspan.core.error.ProblemKind;
import io.figspan.core.event.Part;
import io.figspan.core.time.Deadline;
import io.figspan.host.HostContext;
import io.figspan.host.backend.BackendTable;
import java.util.Optional;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** A caller that goes on reading an answer, after a break or at another host. */
final class ResumeCall {
    private static final Logger LOG = LoggerFactory.getLogger(ResumeCall.class);

    private final HostContext context;
    private final CallerStream caller;
    private final RequestHead head;
    private final long deadlineTimer;
    private final long heartbeatTimer;
    private Optional<AnswerRelay> relay = Optional.empty();
    private boolean over;

    ResumeCall(HostContext context, CallerStream caller, RequestHead head, Deadline deadline) {
        this.context = context;
        this.caller = caller;
        this.head = head;
        long leftMs = Math.max(1, deadline.leftMs(context.nowNanos()));
        this.deadlineTimer = context.vertx()
                .setTimer(
                        leftMs,
                        id -> fail(
                                Problem.unknown(ProblemKind.DEADLINE_PASSED, "the answer was not complete in time")));
        this.heartbeatTimer = context.vertx().setPeriodic(CallerStream.HEARTBEAT_MS, id -> caller.heartbeat());
    }

    void start(ResumeTokenCodec tokens, ResumeToken position) {
        caller.setGoneListener(this::end);
        context.count("prompts.resumed");
        context.timeline()
                .add(
                        Part.ENTRY,
                        "resume",
                        head.request().value(),
                        position.engine() + " stream " + position.stream() + " offset " + position.offset());
        Optional<BackendTable.Server> server = context.backends()
                .find(position.engine().server())
                .filter(known ->
                        known.incarnation().number() <= position.engine().number());
        if (server.isEmpty()) {
            fail(gone("the engine that had the stream is gone"));
            return;
        }
        AnswerRelay newRelay = new AnswerRelay(
                context,
                tokens,
                caller,
                new AnswerRelay.Route(
                        head.organisation(), head.request(), server.get(), position.stream(), (int) position.offset()),
                new RelayListener());
        relay = Optional.of(newRelay);
        context.engines()
                .resume(server.get(), position.stream(), (int) position.offset())
                .subscribe(newRelay);
    }

    private final class RelayListener implements AnswerRelay.Listener {
        @Override
        public void onOpened() {}

        @Override
        public void onFirstToken() {}

        @Override
        public void onComplete(int endOffset) {
            relay = Optional.empty();
            caller.complete(endOffset);
            context.count("prompts.answered");
            context.timeline().add(Part.ENTRY, "answered", head.request().value(), endOffset + " tokens, resumed");
            end();
        }

        @Override
        public void onBroken(Throwable cause) {
            fail(gone("the stream cannot be read: " + cause.getMessage()));
        }
    }

    /** Ends the call because the process exits. The engine goes on, so that the caller can resume at another host. */
    void endForExit() {
        if (over) {
            return;
        }
        LOG.info(
                "{} request {} ended: the process exits before its resumed answer is complete",
                Part.ENTRY.logPrefix(),
                head.request());
        context.count("prompts.failed." + ProblemKind.HOST_STOPPED.wireName());
        relay.ifPresent(AnswerRelay::stop);
        relay = Optional.empty();
        fail(Problem.unknown(ProblemKind.HOST_STOPPED, "this host stops before the answer is complete"));
    }

    private void fail(Problem problem) {
        caller.problem(problem);
        end();
    }

    private void end() {
        if (over) {
            return;
        }
        over = true;
        context.vertx().cancelTimer(deadlineTimer);
        context.vertx().cancelTimer(heartbeatTimer);
        relay.ifPresent(running -> {
            running.stop();
            context.engines().cancel(running.server(), running.stream(), running.readerNumber());
        });
    }

    private static Problem gone(String detail) {
        return Problem.unknown(ProblemKind.STREAM_GONE, detail);
    }
}

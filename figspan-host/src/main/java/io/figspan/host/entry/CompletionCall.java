package io.figspan.host.entry;

import io.figspan.core.error.Problem;
import io.figspan.core.error.ProblemKind;
import io.figspan.core.error.RunState;
import io.figspan.core.event.Part;
import io.figspan.core.id.HoldHandle;
import io.figspan.core.id.StreamId;
import io.figspan.core.time.Deadline;
import io.figspan.host.HostContext;
import io.figspan.host.backend.BackendTable;
import io.figspan.host.backend.EngineMessages;
import io.figspan.host.backend.EngineRefusal;
import io.figspan.policy.fair.PriorityClass;
import io.figspan.policy.placement.PromptCost;
import io.figspan.policy.recovery.Recovery;
import io.figspan.policy.recovery.RecoveryPolicy;
import java.util.Optional;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * One prompt from its admission to the end of its answer. When an engine fails, it goes on at another from the tokens
 * already sent if the time left allows it. Whatever the end, the engine's stream is cancelled and its memory returned.
 */
final class CompletionCall {
    private static final Logger LOG = LoggerFactory.getLogger(CompletionCall.class);

    /** A hold outlives the deadline by this time, so that the caller's last reads are served. */
    static final long HOLD_GRACE_MS = 5_000;

    /** Attempts for one request, so that a prompt that breaks engines cannot break all of them. */
    private static final int MAX_ATTEMPTS = 4;

    /** Pause before a group is reserved again. */
    private static final long GROUP_RETRY_MS = 50;

    private static final double RECOVERY_MARGIN = 1.2;

    private final HostContext context;
    private final Dispatcher dispatcher;
    private final StreamTokens tokens;
    private final RequestHead head;
    private final CompletionRequest prompt;
    private final CallerStream caller;
    private final PriorityClass priority;
    private final Deadline deadline;
    private final Runnable onEnd;
    private final long startNanos;
    private final long deadlineTimer;
    private final long heartbeatTimer;
    private Optional<Dispatcher.Waiting> waiting = Optional.empty();
    private Optional<AnswerRelay> relay = Optional.empty();
    private Optional<EngineGroup> group = Optional.empty();
    private Optional<BackendTable.Server> server = Optional.empty();
    private long sendId;
    private int sentTokens;
    private int attempts;
    private boolean over;

    CompletionCall(
            HostContext context,
            Dispatcher dispatcher,
            StreamTokens tokens,
            RequestHead head,
            CompletionRequest prompt,
            CallerStream caller,
            PriorityClass priority,
            Deadline deadline,
            Runnable onEnd) {
        this.context = context;
        this.dispatcher = dispatcher;
        this.tokens = tokens;
        this.head = head;
        this.prompt = prompt;
        this.caller = caller;
        this.priority = priority;
        this.deadline = deadline;
        this.onEnd = onEnd;
        this.startNanos = context.nowNanos();
        this.deadlineTimer = context.vertx().setTimer(Math.max(1, deadline.leftMs(startNanos)), id -> onDeadline());
        this.heartbeatTimer = context.vertx().setPeriodic(CallerStream.HEARTBEAT_MS, id -> caller.heartbeat());
    }

    void start() {
        caller.setGoneListener(this::onCallerGone);
        context.count("prompts.received");
        event(Part.ENTRY, "received", prompt.promptTokens() + " tokens, " + deadline.leftMs(startNanos) + " ms");
        attempt();
    }

    // Attempts

    private void attempt() {
        if (over) {
            return;
        }
        attempts++;
        if (needsGroup()) {
            reserveGroup();
            return;
        }
        PromptCost cost = new PromptCost(prompt.promptTokens() + sentTokens, prompt.outputTokens(), 0, 0);
        Dispatcher.Waiting newWaiting = new Dispatcher.Waiting(
                head.request(), head.organisation(), priority, cost, deadline, new PlacementListener());
        waiting = Optional.of(newWaiting);
        dispatcher.submit(newWaiting);
    }

    private boolean needsGroup() {
        long kvTokens = prompt.promptTokens() + (long) prompt.outputTokens();
        return kvTokens > context.backends().loads().speed().kvTotalTokens();
    }

    private final class PlacementListener implements Dispatcher.Listener {
        @Override
        public void onPlaced(BackendTable.Server placed) {
            waiting = Optional.empty();
            send(placed, context.newHold(), prompt.prompt());
        }

        @Override
        public void onRefused(Problem problem) {
            waiting = Optional.empty();
            fail(sentTokens > 0 ? problem.withRun(RunState.UNKNOWN) : problem);
        }
    }

    private void reserveGroup() {
        EngineGroup newGroup = new EngineGroup(context, head.request());
        group = Optional.of(newGroup);
        newGroup.reserve(prompt, deadline, HOLD_GRACE_MS).onComplete(reserved -> {
            if (over) {
                newGroup.release();
                return;
            }
            if (reserved.failed()) {
                group = Optional.empty();
                event(Part.HOLD, "groupFailed", String.valueOf(reserved.cause().getMessage()));
                long pauseMs = GROUP_RETRY_MS + context.random().nextLong(GROUP_RETRY_MS);
                context.vertx().setTimer(pauseMs, id -> reserveGroupAgain());
                return;
            }
            event(Part.HOLD, "groupReserved", newGroup.members().size() + " engines");
            prefillGroup(newGroup);
        });
    }

    private void reserveGroupAgain() {
        if (!over) {
            reserveGroup();
        }
    }

    private void prefillGroup(EngineGroup reserved) {
        reserved.prefill(priority.level(), deadline).onComplete(prefilled -> {
            if (over) {
                reserved.release();
                return;
            }
            if (prefilled.failed()) {
                onEngineFailure(prefilled.cause());
                return;
            }
            EngineGroup.Member last = reserved.last();
            send(last.server(), last.hold(), last.text());
        });
    }

    private void send(BackendTable.Server placed, HoldHandle hold, String text) {
        server = Optional.of(placed);
        long leftMs = deadline.leftMs(context.nowNanos());
        if (leftMs == 0) {
            onDeadline();
            return;
        }
        StreamId stream = context.newStream();
        sendId = context.sequence().incrementAndGet();
        long textTokens = CompletionRequest.tokensOf(text);
        context.backends()
                .loads()
                .sent(placed.id(), sendId, textTokens, textTokens + prompt.outputTokens(), context.nowNanos());
        EngineMessages.Completion completion = new EngineMessages.Completion(
                prompt.model(),
                text,
                prompt.outputTokens(),
                stream.value(),
                hold.toString(),
                priority.level(),
                leftMs + HOLD_GRACE_MS,
                sentTokens);
        AnswerRelay newRelay = new AnswerRelay(
                context,
                tokens,
                caller,
                new AnswerRelay.Route(head.organisation(), head.request(), placed, stream, sentTokens),
                new RelayListener());
        relay = Optional.of(newRelay);
        event(Part.ENTRY, "sent", placed.incarnation() + " stream " + stream + " offset " + sentTokens);
        context.engines().complete(placed, completion).subscribe(newRelay);
    }

    private final class RelayListener implements AnswerRelay.Listener {
        @Override
        public void onOpened() {
            event(Part.ENTRY, "opened", "");
        }

        @Override
        public void onFirstToken() {
            server.ifPresent(used -> context.backends().loads().firstToken(used.id(), sendId));
            long elapsedNanos = context.nowNanos() - startNanos;
            context.metrics()
                    .timer("prompts.firstToken")
                    .update(elapsedNanos, java.util.concurrent.TimeUnit.NANOSECONDS);
            event(Part.ENTRY, "firstToken", elapsedNanos / 1_000_000 + " ms");
        }

        @Override
        public void onComplete(int endOffset) {
            relay = Optional.empty();
            caller.complete(endOffset);
            context.count("prompts.answered");
            event(Part.ENTRY, "answered", endOffset + " tokens");
            end();
        }

        @Override
        public void onBroken(Throwable cause) {
            onEngineFailure(cause);
        }
    }

    // Failures

    private void onEngineFailure(Throwable cause) {
        if (over) {
            return;
        }
        LOG.warn("{} request {}: engine failed: {}", Part.ENTRY.logPrefix(), head.request(), cause.getMessage());
        event(Part.ENTRY, "engineFailed", String.valueOf(cause.getMessage()));
        sentTokens = Math.max(sentTokens, relay.map(AnswerRelay::nextOffset).orElse(0));
        boolean refused = cause instanceof EngineRefusal;
        if (!refused) {
            server.ifPresent(failed -> context.backends().onFailure(failed));
        }
        leaveEngine();
        Optional<Problem> reason = reasonToStop(refused);
        if (reason.isPresent()) {
            fail(reason.get());
            return;
        }
        context.count("prompts.recovered");
        attempt();
    }

    /** Why the request does not go on at another engine; empty when it does. */
    private Optional<Problem> reasonToStop(boolean refused) {
        if (attempts >= MAX_ATTEMPTS) {
            return Optional.of(Problem.unknown(
                    ProblemKind.BACKEND_FAILED, "the engines failed " + attempts + " times for this request"));
        }
        if (refused) {
            return Optional.empty();
        }
        RecoveryPolicy policy = new RecoveryPolicy(context.backends().loads().speed(), RECOVERY_MARGIN);
        RecoveryPolicy.Interrupted interrupted = new RecoveryPolicy.Interrupted(
                prompt.promptTokens(), sentTokens, prompt.outputTokens(), 0, 0, deadline);
        Recovery recovery = policy.decide(interrupted, context.nowNanos());
        return recovery instanceof Recovery.Fail fail ? Optional.of(fail.problem()) : Optional.empty();
    }

    private void onDeadline() {
        if (over) {
            return;
        }
        RunState run = attempts > 0 && server.isPresent() ? RunState.UNKNOWN : RunState.NOT_RUN;
        fail(new Problem(ProblemKind.DEADLINE_PASSED, "the answer was not complete in time", run, 0));
    }

    private void onCallerGone() {
        if (over) {
            return;
        }
        context.count("prompts.abandoned");
        event(Part.ENTRY, "callerGone", "");
        end();
    }

    private void fail(Problem problem) {
        if (over) {
            return;
        }
        context.count("prompts.failed." + problem.kind().wireName());
        event(Part.ENTRY, "refused", problem.kind().wireName() + ": " + problem.detail());
        caller.problem(problem);
        end();
    }

    // End

    private void end() {
        if (over) {
            return;
        }
        over = true;
        context.vertx().cancelTimer(deadlineTimer);
        context.vertx().cancelTimer(heartbeatTimer);
        waiting.ifPresent(dispatcher::withdraw);
        leaveEngine();
        onEnd.run();
    }

    /** Cancels the stream and returns the memory of the engine or group in use. */
    private void leaveEngine() {
        server.ifPresent(used -> context.backends().loads().finished(used.id(), sendId));
        relay.ifPresent(running -> {
            running.stop();
            context.engines()
                    .cancel(running.server(), running.stream(), running.readerNumber())
                    .onSuccess(status -> event(Part.HOLD, "cancelled", running.stream() + " status " + status));
        });
        group.ifPresent(EngineGroup::release);
        relay = Optional.empty();
        group = Optional.empty();
    }

    private void event(Part part, String kind, String text) {
        context.timeline().add(part, kind, head.request().value(), text);
    }
}

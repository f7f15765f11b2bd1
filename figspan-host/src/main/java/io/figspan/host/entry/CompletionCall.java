package io.figspan.host.entry;

import com.google.common.hash.Hashing;
import io.figspan.control.hold.HoldAction;
import io.figspan.control.hold.HoldLedgerConfig;
import io.figspan.control.leaving.LeavingSource;
import io.figspan.control.resume.ResumeTokenCodec;
import io.figspan.core.error.Problem;
import io.figspan.core.error.ProblemKind;
import io.figspan.core.error.Result;
import io.figspan.core.error.RunState;
import io.figspan.core.event.Part;
import io.figspan.core.id.BackendServerId;
import io.figspan.core.id.HoldHandle;
import io.figspan.core.id.StreamId;
import io.figspan.core.time.Deadline;
import io.figspan.host.HostContext;
import io.figspan.host.backend.BackendTable;
import io.figspan.host.backend.EngineMessages;
import io.figspan.host.backend.EngineRefusal;
import io.figspan.policy.dispatch.Prompt;
import io.figspan.policy.fair.PriorityClass;
import io.figspan.policy.placement.PromptCost;
import io.figspan.policy.recovery.Recovery;
import io.figspan.policy.recovery.RecoveryPolicy;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * One prompt from its admission to the end of its answer. When an engine fails, it goes on at another from the tokens
 * already sent if the time left allows it. Whatever the end, the engine's stream is cancelled and its memory returned.
 */
final class CompletionCall {
    private static final Logger LOG = LoggerFactory.getLogger(CompletionCall.class);

    /** Attempts for one request, so that a prompt that breaks engines cannot break all of them. */
    private static final int MAX_ATTEMPTS = 4;

    /** Pause before a group is reserved again. */
    private static final long GROUP_RETRY_MS = 50;

    private static final int HTTP_OK = 200;
    /** Length of the shared beginning by which prompts are sent to engines that have it cached. */
    private static final int PREFIX_CHARS = 4_096;

    private static final double RECOVERY_MARGIN = 1.2;

    private final HostContext context;
    private final Dispatcher dispatcher;
    private final ResumeTokenCodec tokens;
    private final RequestHead head;
    private final CompletionRequest prompt;
    private final CallerStream caller;
    private final PriorityClass priority;
    private final Deadline deadline;
    private final Runnable onNotRun;
    private final long startNanos;
    private final long deadlineTimer;
    private final long heartbeatTimer;
    private Optional<Prompt> asked = Optional.empty();
    private List<BackendServerId> servers = List.of();
    private Optional<AnswerRelay> relay = Optional.empty();
    private Optional<EngineGroup> group = Optional.empty();
    private Optional<BackendTable.Server> server = Optional.empty();
    private Optional<HoldHandle> ownHold = Optional.empty();
    private boolean engineIsDone;
    private long sendId;
    private long sentNanos;
    private int sentTokens;
    private int attempts;
    /** Sends to engines that have not been refused; after one, the request may have run. */
    private int openSends;

    private boolean over;
    /** Whether the engine goes on with a stream after the end of this call, so that it can be resumed elsewhere. */
    private boolean keepsStream;

    CompletionCall(
            HostContext context,
            Dispatcher dispatcher,
            ResumeTokenCodec tokens,
            RequestHead head,
            CompletionRequest prompt,
            CallerStream caller,
            PriorityClass priority,
            Deadline deadline,
            Runnable onNotRun) {
        this.context = context;
        this.dispatcher = dispatcher;
        this.tokens = tokens;
        this.head = head;
        this.prompt = prompt;
        this.caller = caller;
        this.priority = priority;
        this.deadline = deadline;
        this.onNotRun = onNotRun;
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
        PromptCost cost = new PromptCost(
                prompt.promptTokens() + (long) sentTokens, prompt.outputTokens(), prefixHash(), prefixTokens());
        sendId = context.sequence().incrementAndGet();
        Prompt newAsked = new Prompt(sendId, head.organisation(), priority, cost, deadline, startNanos);
        asked = Optional.of(newAsked);
        if (attempts == 1) {
            dispatcher.submit(newAsked, new PlacementListener());
        } else {
            dispatcher.submitAgain(newAsked, new PlacementListener());
        }
    }

    private long prefixHash() {
        return prefixTokens() == 0
                ? 0
                : Hashing.murmur3_128()
                        .hashUnencodedChars(prompt.prompt().substring(0, PREFIX_CHARS))
                        .asLong();
    }

    private long prefixTokens() {
        return prompt.prompt().length() > PREFIX_CHARS ? CompletionRequest.tokensOf(PREFIX_CHARS) : 0;
    }

    private final class PlacementListener implements Dispatcher.Listener {
        @Override
        public void onPlaced(BackendServerId placed, long priorityDelayMs) {
            servers = List.of(placed);
            sentNanos = context.nowNanos();
            event(Part.PLACE, "placed", placed.value());
            context.backends()
                    .find(placed)
                    .ifPresentOrElse(
                            found -> sendToOne(found, priorityDelayMs), CompletionCall.this::onServerForgotten);
        }

        @Override
        public void onGroup(List<BackendServerId> placed, long priorityDelayMs) {
            servers = placed;
            event(Part.PLACE, "placed", placed.toString());
            reserveGroup(placed, priorityDelayMs);
        }

        @Override
        public void onRefused(Problem problem) {
            fail(problem);
        }
    }

    private void onServerForgotten() {
        onEngineFailure(new EngineRefusal(404, "the engine is no longer listed"));
    }

    private void reserveGroup(List<BackendServerId> placed, long priorityDelayMs) {
        List<BackendTable.Server> members = new ArrayList<>();
        placed.forEach(id -> context.backends().find(id).ifPresent(members::add));
        if (members.size() != placed.size()) {
            onServerForgotten();
            return;
        }
        EngineGroup newGroup = EngineGroup.start(context, head.request(), prompt, deadline, members);
        group = Optional.of(newGroup);
        newGroup.acquired().onComplete(acquired -> {
            if (over) {
                newGroup.release();
                return;
            }
            if (acquired.failed()) {
                event(Part.HOLD, "groupFailed", String.valueOf(acquired.cause().getMessage()));
                leaveEngine();
                long pauseMs = GROUP_RETRY_MS + context.random().nextLong(GROUP_RETRY_MS);
                context.vertx().setTimer(pauseMs, id -> askAgain());
                return;
            }
            event(Part.HOLD, "groupReserved", newGroup.size() + " engines");
            prefillGroup(newGroup, priorityDelayMs);
        });
    }

    private void askAgain() {
        if (!over) {
            asked.ifPresent(prompt -> dispatcher.submitAgain(prompt, new PlacementListener()));
        }
    }

    private void prefillGroup(EngineGroup reserved, long priorityDelayMs) {
        server = Optional.of(reserved.lastServer());
        openSends++;
        sentNanos = context.nowNanos();
        reserved.prefill(priorityDelayMs, deadline).onComplete(prefilled -> {
            if (over) {
                reserved.release();
                return;
            }
            if (prefilled.failed()) {
                onEngineFailure(prefilled.cause());
                return;
            }
            send(reserved.lastServer(), reserved.lastHold(), reserved.lastText(), priorityDelayMs);
        });
    }

    /** Opens a hold for a prompt that fits on one engine; the engine takes the memory with the prompt itself. */
    private void sendToOne(BackendTable.Server placed, long priorityDelayMs) {
        long kvTokens = prompt.promptTokens() + (long) prompt.outputTokens();
        Result<HoldAction.Reserve> reserve =
                context.holds().ledger().reserve(placed.incarnation(), kvTokens, deadline, context.nowNanos());
        if (reserve instanceof Result.Failed<HoldAction.Reserve> failed) {
            fail(failed.problem());
            return;
        }
        HoldHandle handle = ((Result.Ok<HoldAction.Reserve>) reserve).value().handle();
        ownHold = Optional.of(handle);
        send(placed, handle, prompt.prompt(), priorityDelayMs);
    }

    private void send(BackendTable.Server placed, HoldHandle hold, String text, long priorityDelayMs) {
        server = Optional.of(placed);
        long leftMs = deadline.leftMs(context.nowNanos());
        if (leftMs == 0) {
            onDeadline();
            return;
        }
        StreamId stream = context.newStream();
        openSends++;
        EngineMessages.Completion completion = new EngineMessages.Completion(
                prompt.model(),
                text,
                prompt.outputTokens(),
                stream.value(),
                hold.toString(),
                priorityDelayMs,
                leftMs + HoldLedgerConfig.DEFAULT.graceMs(),
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
            ownHold.ifPresent(handle -> context.holds().ledger().onReserved(handle, context.nowNanos()));
            event(Part.ENTRY, "opened", "");
        }

        @Override
        public void onFirstToken() {
            asked.ifPresent(sent -> servers.forEach(used -> dispatcher.firstToken(sent, used, sentNanos)));
            long elapsedNanos = context.nowNanos() - startNanos;
            context.metrics()
                    .timer("prompts.firstToken")
                    .update(elapsedNanos, java.util.concurrent.TimeUnit.NANOSECONDS);
            event(Part.ENTRY, "firstToken", elapsedNanos / 1_000_000 + " ms");
        }

        @Override
        public void onComplete(int endOffset) {
            caller.complete(endOffset);
            engineIsDone = true;
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
        boolean refusedAsLeaving = refused && cause.getMessage().contains("leaving");
        if (refusedAsLeaving) {
            server.ifPresent(used -> context.backends().onLeaving(used.incarnation(), LeavingSource.REFUSAL));
        }
        if (refused && openSends > 0) {
            openSends--;
        }
        if (refused) {
            ownHold.ifPresent(handle -> context.holds().ledger().onRefused(handle));
            ownHold = Optional.empty();
        } else {
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
        RecoveryPolicy.InterruptedStream interrupted = new RecoveryPolicy.InterruptedStream(
                prompt.promptTokens(), sentTokens, prompt.outputTokens(), 0, 0, deadline);
        Recovery recovery = policy.decide(interrupted, context.nowNanos());
        return recovery instanceof Recovery.Fail fail ? Optional.of(fail.problem()) : Optional.empty();
    }

    private void onDeadline() {
        if (over) {
            return;
        }
        fail(Problem.notRun(ProblemKind.DEADLINE_PASSED, "the answer was not complete in time"));
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
        boolean mayHaveRun = openSends > 0;
        if (!mayHaveRun) {
            onNotRun.run();
        }
        caller.problem(mayHaveRun ? problem.withRun(RunState.UNKNOWN) : problem);
        end();
    }

    /** Ends the call because the process exits. A stream that has begun can be resumed at another host. */
    void endForExit() {
        if (over) {
            return;
        }
        LOG.info(
                "{} request {} ended: the process exits before its answer is complete; sent to {}, {} attempts",
                Part.ENTRY.logPrefix(),
                head.request(),
                servers,
                attempts);
        keepsStream = true;
        fail(
                openSends > 0
                        ? Problem.unknown(ProblemKind.HOST_STOPPED, "this host stops before the answer is complete")
                        : Problem.notRun(ProblemKind.SHUTTING_DOWN, "this host stops before the request has begun")
                                .withRetryAfterMs(1));
    }

    // End

    private void end() {
        if (over) {
            return;
        }
        over = true;
        context.vertx().cancelTimer(deadlineTimer);
        context.vertx().cancelTimer(heartbeatTimer);
        asked.ifPresent(dispatcher::withdraw);
        leaveEngine();
    }

    /**
     * Cancels the stream and returns the memory of the engine or group in use. A stream that another host reads by now
     * is left to that host; its memory is returned at its end or when the hold expires.
     */
    private void leaveEngine() {
        forgetSend();
        Optional<HoldHandle> hold = ownHold;
        Optional<EngineGroup> reserved = group;
        Optional<AnswerRelay> running = relay;
        ownHold = Optional.empty();
        group = Optional.empty();
        relay = Optional.empty();
        server = Optional.empty();
        running.ifPresent(AnswerRelay::stop);
        if (engineIsDone) {
            hold.ifPresent(this::forgetHold);
            reserved.ifPresent(EngineGroup::release);
            return;
        }
        boolean mayBeRead = running.filter(AnswerRelay::isOpened).isPresent();
        if (!mayBeRead) {
            release(hold, reserved);
            return;
        }
        if (keepsStream) {
            return;
        }
        AnswerRelay opened = running.get();
        context.engines()
                .cancel(opened.server(), opened.stream(), opened.readerNumber())
                .onSuccess(status -> {
                    event(Part.HOLD, "cancelled", opened.stream() + " status " + status);
                    if (status == HTTP_OK) {
                        release(hold, reserved);
                    }
                });
    }

    private void release(Optional<HoldHandle> hold, Optional<EngineGroup> reserved) {
        hold.ifPresent(
                handle -> context.holds().carryOut(context.holds().ledger().release(handle, context.nowNanos()), null));
        reserved.ifPresent(EngineGroup::release);
    }

    /** The engine has returned the memory with the end of the stream. */
    private void forgetHold(HoldHandle handle) {
        var unused = context.holds().ledger().release(handle, context.nowNanos());
        context.holds().ledger().onReleaseAnswered(handle, true);
    }

    private void forgetSend() {
        servers.forEach(used -> context.backends().loads().recordFinished(used, sendId));
        servers = List.of();
    }

    private void event(Part part, String kind, String text) {
        context.timeline().add(part, kind, head.request().value(), text);
    }
}

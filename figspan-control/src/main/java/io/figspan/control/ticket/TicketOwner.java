package io.figspan.control.ticket;

import io.figspan.core.chart.StateChart;
import io.figspan.core.error.Problem;
import io.figspan.core.error.ProblemKind;
import io.figspan.core.error.Result;
import io.figspan.core.error.RunState;
import io.figspan.core.id.HostIncarnation;
import io.figspan.core.id.OrganisationId;
import io.figspan.core.id.ServiceId;
import io.figspan.core.id.TicketId;
import io.figspan.core.time.Deadline;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.TimeUnit;

/**
 * State machine of the tickets that this process issued. It alone decides whether the call of a ticket may be written
 * to a backend server, so that a call runs at most once, and {@code notRun} is reported only after the ticket is void.
 *
 * <p>Every method takes the current monotonic time and applies pending timeouts first, so that a process that was
 * paused handles expired tickets before it acts on them. Not thread-safe.
 */
public final class TicketOwner {
    /** Shortest {@code Retry-After} when the table or the waiting calls are at their limit, in milliseconds. */
    private static final long FULL_RETRY_AFTER_MS = 1_000;

    private static final StateChart<TicketState, TicketEvent> CHART =
            StateChart.load("/charts/ticket.toml", TicketState.class, TicketEvent.class);

    private final HostIncarnation self;
    private final TicketOwnerConfig config;
    private final TicketTable table;
    private long nextSequence;
    private boolean draining;

    public TicketOwner(HostIncarnation self, TicketOwnerConfig config) {
        this.self = self;
        this.config = config;
        this.table = new TicketTable(config);
    }

    /** Issues a ticket, or fails with {@code Retry-After} if the table is full. */
    public Result<Ticket> issue(OrganisationId organisation, ServiceId service, long nowNanos) {
        return issue(organisation, service, config.lifetimeMs(), config.retentionMs(), nowNanos);
    }

    /** As {@link #issue(OrganisationId, ServiceId, long)}, with the service's own lifetime and retention. */
    public Result<Ticket> issue(
            OrganisationId organisation, ServiceId service, long lifetimeMs, long retentionMs, long nowNanos) {
        if (draining) {
            return Result.failed(Problem.notRun(ProblemKind.SHUTTING_DOWN, "no new tickets on this host"));
        }
        if (table.isFull()) {
            return Result.failed(tableFull("the ticket table of this host is full", nowNanos));
        }
        if (table.isFullFor(organisation)) {
            return Result.failed(tableFull("the organisation holds its share of the ticket table", nowNanos));
        }
        TicketId id = TicketId.of(self.host() + ":" + self.number() + ":" + nextSequence);
        nextSequence++;
        long expiryNanos = nowNanos + TimeUnit.MILLISECONDS.toNanos(lifetimeMs);
        Ticket ticket = new Ticket(organisation, service, id, self);
        TicketEntry entry = new TicketEntry(ticket, CHART.initial(), expiryNanos, retentionMs);
        entry.nextCheckNanos = expiryNanos;
        table.add(entry);
        return Result.ok(ticket);
    }

    /** Stops issuing tickets; those already issued stay valid. */
    public void drain() {
        draining = true;
    }

    /**
     * Executes a ticket that {@link TicketCodec} has verified for the caller's organisation. The call gets one
     * {@link OrderAction.Reply}, in this or a later result.
     */
    public List<OrderAction> onExecute(ExecuteCall call, long nowNanos) {
        List<OrderAction> actions = new ArrayList<>();
        Optional<TicketEntry> found = resolveOwnedEntry(call.call(), call.ticket(), nowNanos, actions);
        if (found.isEmpty()) {
            return actions;
        }
        TicketEntry entry = found.get();
        if (entry.body != null && !entry.body.equals(call.body())) {
            reply(actions, call.call(), conflict(entry));
            return actions;
        }
        if (entry.isSettled()) {
            reply(actions, call.call(), entry.outcome);
            return actions;
        }
        if (entry.state.isInFlight()) {
            awaitOutcome(entry, call, actions);
            return actions;
        }
        execute(entry, call, nowNanos, actions);
        return actions;
    }

    /** Queries the outcome; replies at once, and never with {@code notRun} while the ticket can still be executed. */
    public List<OrderAction> onQuery(CallId call, Ticket ticket, long nowNanos) {
        List<OrderAction> actions = new ArrayList<>();
        resolveOwnedEntry(call, ticket, nowNanos, actions)
                .ifPresent(entry -> reply(actions, call, entry.isSettled() ? entry.outcome : pending(entry)));
        return actions;
    }

    /** Removes a waiting call whose caller disconnected; the execution continues, and its outcome can be queried. */
    public void onCallerGone(CallId call, TicketId ticket) {
        table.find(ticket).ifPresent(entry -> table.removeWaiting(entry, call));
    }

    /**
     * Checks right before the write whether it is allowed. Returns {@link OrderAction.WriteNow} if so; otherwise the
     * ticket has expired, the deadline has passed or the attempt is not the current one, and nothing may be written.
     */
    public List<OrderAction> beforeWrite(TicketId ticket, int attempt, long nowNanos) {
        List<OrderAction> actions = new ArrayList<>();
        Optional<TicketEntry> current = currentAttempt(ticket, attempt, nowNanos, actions);
        if (current.isEmpty()) {
            abandon(actions, ticket, attempt);
            return actions;
        }
        TicketEntry entry = current.get();
        if (!transition(entry, TicketEvent.WRITE_BEGAN)) {
            return actions;
        }
        entry.unresolvedWrites.add(attempt);
        actions.add(new OrderAction.WriteNow(entry.ticket, attempt));
        schedule(entry);
        return actions;
    }

    /** Handles a connection that failed before {@link #beforeWrite} allowed a write, so nothing was written. */
    public List<OrderAction> onConnectFailed(
            TicketId ticket, int attempt, boolean otherServerAvailable, long nowNanos) {
        List<OrderAction> actions = new ArrayList<>();
        Optional<TicketEntry> current = currentAttempt(ticket, attempt, nowNanos, actions);
        if (current.isEmpty() || current.get().state == TicketState.WRITING) {
            return actions;
        }
        TicketEntry entry = current.get();
        if (otherServerAvailable && entry.attempt < config.maxAttempts()) {
            startNextAttempt(entry, actions);
        } else if (entry.state == TicketState.CONNECTING) {
            voidTicket(
                    entry, ProblemKind.NO_BACKEND_SERVER, "no backend server accepted a connection", nowNanos, actions);
        } else {
            settleUnknown(
                    entry, "the write broke and no backend server accepted another connection", nowNanos, actions);
        }
        return actions;
    }

    /** Handles the service's answer to a written attempt. Late and repeated answers are allowed. */
    public List<OrderAction> onAnswered(
            TicketId ticket, int attempt, ServiceAnswer answer, boolean otherServerAvailable, long nowNanos) {
        List<OrderAction> actions = new ArrayList<>();
        Optional<TicketEntry> found = table.find(ticket);
        if (found.isEmpty() || !found.get().unresolvedWrites.contains(attempt)) {
            return actions;
        }
        TicketEntry entry = found.get();
        applyTimeouts(entry, nowNanos, actions);
        if (entry.state == TicketState.ANSWERED) {
            return actions;
        }
        if (answer.claimsNotRun() && entry.rules.notRunProofTrusted()) {
            handleNotRunProof(entry, attempt, otherServerAvailable, nowNanos, actions);
            return actions;
        }
        boolean wasRetrying = entry.state == TicketState.RETRYING;
        settle(entry, TicketEvent.ANSWERED, new OrderOutcome.Answered(answer), nowNanos, actions);
        if (wasRetrying) {
            abandon(actions, ticket, entry.attempt);
        }
        return actions;
    }

    /** Handles a connection that broke, or an answer that timed out, after the write began. */
    public List<OrderAction> onBroken(TicketId ticket, int attempt, boolean otherServerAvailable, long nowNanos) {
        List<OrderAction> actions = new ArrayList<>();
        Optional<TicketEntry> current = currentAttempt(ticket, attempt, nowNanos, actions);
        if (current.isEmpty() || current.get().state != TicketState.WRITING) {
            return actions;
        }
        retryOrSettleUnknown(current.get(), otherServerAvailable, nowNanos, actions);
        return actions;
    }

    /** Applies all timeouts up to {@code nowNanos}. */
    public List<OrderAction> onTick(long nowNanos) {
        List<OrderAction> actions = new ArrayList<>();
        Optional<TicketEntry> first = table.first();
        while (first.isPresent() && nowNanos - first.get().nextCheckNanos >= 0) {
            applyTimeouts(first.get(), nowNanos, actions);
            first = table.first();
        }
        return actions;
    }

    /** Number of entries, settled ones included. */
    public int size() {
        return table.size();
    }

    /** Number of tickets not yet settled; a graceful shutdown waits for them. */
    public int openCount() {
        int open = 0;
        for (TicketEntry entry : table.entries()) {
            open += entry.isSettled() ? 0 : 1;
        }
        return open;
    }

    /** Number of tickets being executed. */
    public int inFlightCount() {
        int inFlight = 0;
        for (TicketEntry entry : table.entries()) {
            inFlight += entry.state.isInFlight() ? 1 : 0;
        }
        return inFlight;
    }

    public Optional<TicketState> state(TicketId ticket) {
        return table.find(ticket).map(entry -> entry.state);
    }

    private Optional<TicketEntry> resolveOwnedEntry(
            CallId call, Ticket ticket, long nowNanos, List<OrderAction> actions) {
        if (!ticket.owner().host().equals(self.host())) {
            actions.add(new OrderAction.Forward(call, ticket, ticket.owner()));
            return Optional.empty();
        }
        if (!ticket.owner().equals(self)) {
            reply(
                    actions,
                    call,
                    unknownOutcome(ProblemKind.OWNER_UNREACHABLE, "the process that owned the ticket has ended"));
            return Optional.empty();
        }
        Optional<TicketEntry> entry = table.find(ticket.id());
        entry.ifPresent(found -> applyTimeouts(found, nowNanos, actions));
        if (table.find(ticket.id()).isEmpty()) {
            reply(
                    actions,
                    call,
                    unknownOutcome(ProblemKind.TICKET_EXPIRED, "the outcome of the ticket is no longer kept"));
            return Optional.empty();
        }
        return entry;
    }

    private void execute(TicketEntry entry, ExecuteCall call, long nowNanos, List<OrderAction> actions) {
        if (!table.canWait()) {
            // Rejected without settling the ticket, so that the caller can retry with it.
            reply(actions, call.call(), tooManyWaiting(entry));
            return;
        }
        entry.body = call.body();
        entry.rules = call.rules();
        entry.deadline = call.deadline();
        table.addWaiting(entry, call);
        transition(entry, TicketEvent.EXECUTE);
        if (!entry.mayStillWrite(nowNanos)) {
            applyTimeouts(entry, nowNanos, actions);
            return;
        }
        startNextAttempt(entry, actions);
    }

    private void awaitOutcome(TicketEntry entry, ExecuteCall call, List<OrderAction> actions) {
        if (!table.canWait()) {
            reply(actions, call.call(), tooManyWaiting(entry));
            return;
        }
        table.addWaiting(entry, call);
        actions.add(new OrderAction.AwaitOutcome(call.call(), entry.ticket.id()));
        schedule(entry);
    }

    private Optional<TicketEntry> currentAttempt(
            TicketId ticket, int attempt, long nowNanos, List<OrderAction> actions) {
        Optional<TicketEntry> entry = table.find(ticket);
        if (entry.isEmpty()) {
            return entry;
        }
        applyTimeouts(entry.get(), nowNanos, actions);
        return entry.filter(found -> found.state.isInFlight() && found.attempt == attempt);
    }

    private void startNextAttempt(TicketEntry entry, List<OrderAction> actions) {
        entry.attempt++;
        actions.add(new OrderAction.StartWrite(entry.ticket, entry.attempt, entry.deadline));
        schedule(entry);
    }

    private void handleNotRunProof(
            TicketEntry entry, int attempt, boolean otherServerAvailable, long nowNanos, List<OrderAction> actions) {
        entry.unresolvedWrites.remove(attempt);
        boolean current = entry.attempt == attempt && entry.state == TicketState.WRITING;
        if (!entry.unresolvedWrites.isEmpty()) {
            // An earlier write with the same key may have run, so the outcome stays open.
            if (current) {
                retryOrSettleUnknown(entry, otherServerAvailable, nowNanos, actions);
            }
            return;
        }
        if (entry.state == TicketState.RETRYING) {
            // The retry continues as the only write that can still run.
            return;
        }
        if (current && otherServerAvailable && entry.attempt < config.maxAttempts() && entry.mayStillWrite(nowNanos)) {
            transition(entry, TicketEvent.REDIRECTED);
            startNextAttempt(entry, actions);
            return;
        }
        Problem problem = Problem.notRun(ProblemKind.BACKEND_FAILED, "the service stated that it ran nothing");
        settle(
                entry,
                TicketEvent.PROVEN_NOT_RUN,
                new OrderOutcome.Unanswered(problem, TicketState.NOT_RUN),
                nowNanos,
                actions);
    }

    private void retryOrSettleUnknown(
            TicketEntry entry, boolean otherServerAvailable, long nowNanos, List<OrderAction> actions) {
        boolean mayRetry = entry.rules.honoursIdempotencyKey() && otherServerAvailable;
        if (mayRetry && entry.attempt < config.maxAttempts() && entry.mayStillWrite(nowNanos)) {
            transition(entry, TicketEvent.RETRY);
            startNextAttempt(entry, actions);
            return;
        }
        settleUnknown(entry, "the connection broke after the write began", nowNanos, actions);
    }

    /** Applies the timeouts of one entry. */
    private void applyTimeouts(TicketEntry entry, long nowNanos, List<OrderAction> actions) {
        if (entry.state == TicketState.ISSUED && nowNanos - entry.expiryNanos >= 0) {
            Problem problem = Problem.notRun(ProblemKind.TICKET_EXPIRED, "the ticket expired before it was executed");
            settle(
                    entry,
                    TicketEvent.EXPIRED,
                    new OrderOutcome.Unanswered(problem, TicketState.EXPIRED),
                    entry.expiryNanos,
                    actions);
        }
        if (entry.state == TicketState.CONNECTING && !entry.mayStillWrite(nowNanos)) {
            int attempt = entry.attempt;
            voidTicket(entry, ProblemKind.DEADLINE_PASSED, "the deadline passed before the write", nowNanos, actions);
            abandon(actions, entry.ticket.id(), attempt);
        }
        if (entry.state == TicketState.RETRYING && !entry.mayStillWrite(nowNanos)) {
            abandon(actions, entry.ticket.id(), entry.attempt);
            settleUnknown(entry, "the write broke and the deadline passed", nowNanos, actions);
        }
        if (entry.state == TicketState.WRITING && nowNanos - lateAnswerDeadlineNanos(entry) >= 0) {
            settleUnknown(entry, "the service did not answer in time", nowNanos, actions);
        }
        replyToCallsPastDeadline(entry, nowNanos, actions);
        if (entry.isSettled() && nowNanos - removalNanos(entry) >= 0) {
            table.remove(entry);
            return;
        }
        schedule(entry);
    }

    private void replyToCallsPastDeadline(TicketEntry entry, long nowNanos, List<OrderAction> actions) {
        List<CallId> late = entry.waiting.entrySet().stream()
                .filter(waiting -> waiting.getValue().hasPassed(nowNanos))
                .map(Map.Entry::getKey)
                .toList();
        for (CallId call : late) {
            table.removeWaiting(entry, call);
            Problem problem = Problem.unknown(ProblemKind.DEADLINE_PASSED, "the outcome was not known in time");
            reply(actions, call, new OrderOutcome.Unanswered(problem, entry.state));
        }
    }

    private void voidTicket(
            TicketEntry entry, ProblemKind kind, String detail, long nowNanos, List<OrderAction> actions) {
        OrderOutcome outcome = new OrderOutcome.Unanswered(Problem.notRun(kind, detail), TicketState.NOT_RUN);
        settle(entry, TicketEvent.VOIDED, outcome, nowNanos, actions);
    }

    private void settleUnknown(TicketEntry entry, String detail, long nowNanos, List<OrderAction> actions) {
        Problem problem = Problem.unknown(ProblemKind.OUTCOME_UNKNOWN, detail);
        settle(entry, TicketEvent.BROKEN, new OrderOutcome.Unanswered(problem, TicketState.UNKNOWN), nowNanos, actions);
    }

    /** Moves to a settled state, and only then replies to the waiting calls. */
    private void settle(
            TicketEntry entry, TicketEvent event, OrderOutcome outcome, long atNanos, List<OrderAction> actions) {
        if (!transition(entry, event)) {
            return;
        }
        table.store(entry, outcome);
        entry.settledNanos = atNanos;
        for (CallId call : List.copyOf(entry.waiting.keySet())) {
            table.removeWaiting(entry, call);
            reply(actions, call, outcome);
        }
        schedule(entry);
    }

    private boolean transition(TicketEntry entry, TicketEvent event) {
        Result<TicketState> next = CHART.next(entry.state, event);
        if (next instanceof Result.Ok<TicketState> ok) {
            entry.state = ok.value();
            return true;
        }
        return false;
    }

    private void schedule(TicketEntry entry) {
        table.scheduleCheck(entry, nextCheckNanos(entry));
    }

    private long nextCheckNanos(TicketEntry entry) {
        if (entry.state == TicketState.ISSUED) {
            return entry.expiryNanos;
        }
        if (entry.isSettled()) {
            return removalNanos(entry);
        }
        long atNanos = entry.state == TicketState.WRITING
                ? lateAnswerDeadlineNanos(entry)
                : Math.min(entry.deadline.atNanos(), entry.expiryNanos);
        for (Deadline deadline : entry.waiting.values()) {
            atNanos = Math.min(atNanos, deadline.atNanos());
        }
        return atNanos;
    }

    private long lateAnswerDeadlineNanos(TicketEntry entry) {
        return entry.deadline.atNanos() + TimeUnit.MILLISECONDS.toNanos(config.lateAnswerMs());
    }

    private long removalNanos(TicketEntry entry) {
        return Math.max(entry.expiryNanos, entry.settledNanos) + TimeUnit.MILLISECONDS.toNanos(entry.retentionMs);
    }

    private static void reply(List<OrderAction> actions, CallId call, OrderOutcome outcome) {
        actions.add(new OrderAction.Reply(call, outcome));
    }

    private static void abandon(List<OrderAction> actions, TicketId ticket, int attempt) {
        if (attempt > 0) {
            actions.add(new OrderAction.Abandon(ticket, attempt));
        }
    }

    /** Outcome for a call with another body; includes the ticket's run state, so that callers do not order twice. */
    private static OrderOutcome conflict(TicketEntry entry) {
        RunState run = entry.isSettled() ? entry.outcome.run() : RunState.UNKNOWN;
        Problem problem =
                new Problem(ProblemKind.TICKET_CONFLICT, "the ticket was used for a call with another body", run, 0);
        return new OrderOutcome.Unanswered(problem, entry.state);
    }

    private static OrderOutcome pending(TicketEntry entry) {
        Problem problem = Problem.unknown(
                        ProblemKind.OUTCOME_UNKNOWN, "the ticket is " + entry.state.wireName() + "; ask again")
                .withRetryAfterMs(FULL_RETRY_AFTER_MS);
        return new OrderOutcome.Unanswered(problem, entry.state);
    }

    private static OrderOutcome tooManyWaiting(TicketEntry entry) {
        Problem problem = Problem.unknown(ProblemKind.OVERLOADED, "too many calls wait for outcomes on this host")
                .withRetryAfterMs(FULL_RETRY_AFTER_MS);
        return new OrderOutcome.Unanswered(problem, entry.state);
    }

    private static OrderOutcome unknownOutcome(ProblemKind kind, String detail) {
        return new OrderOutcome.Unanswered(Problem.unknown(kind, detail), TicketState.UNKNOWN);
    }

    private Problem tableFull(String detail, long nowNanos) {
        long waitNanos =
                table.first().map(entry -> entry.nextCheckNanos - nowNanos).orElse(0L);
        long waitMs = Math.max(FULL_RETRY_AFTER_MS, TimeUnit.NANOSECONDS.toMillis(waitNanos));
        return Problem.notRun(ProblemKind.OVERLOADED, detail).withRetryAfterMs(waitMs);
    }
}

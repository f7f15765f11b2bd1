package io.figspan.control.ticket;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.figspan.core.error.Location;
import io.figspan.core.error.Problem;
import io.figspan.core.error.ProblemKind;
import io.figspan.core.error.Result;
import io.figspan.core.error.RunState;
import io.figspan.core.id.HostId;
import io.figspan.core.id.HostIncarnation;
import io.figspan.core.id.OrganisationId;
import io.figspan.core.id.ServiceId;
import io.figspan.core.time.Deadline;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;

class TicketOwnerTest {
    private static final HostIncarnation SELF = new HostIncarnation(HostId.of("h1"), 7);
    private static final OrganisationId ORG = OrganisationId.of("kite");
    private static final ServiceId SERVICE = ServiceId.of("orders");
    private static final ServiceAnswer OK = ServiceAnswer.of(200, "application/json", AnswerBody.ofText("done"));
    private static final ServiceAnswer NOT_RUN_CLAIM =
            ServiceAnswer.of(503, "text/plain", AnswerBody.EMPTY).withClaimsNotRun(true);
    private static final OrderRules KEYED = new OrderRules(true, false);
    private static final OrderRules TRUSTED = new OrderRules(false, true);
    private static final OrderRules KEYED_TRUSTED = new OrderRules(true, true);
    private static final long LIFETIME_MS = 10_000;

    private final TicketOwner owner =
            new TicketOwner(SELF, TicketOwnerConfig.DEFAULT.withTimes(LIFETIME_MS, 60_000, 5_000));
    private final Ticket ticket = issue(owner, 0);
    private long nextCall;

    @Test
    void anAnsweredTicketAnswersEveryLaterCallWithTheSameBodyAndWritesOnce() {
        begin(OrderRules.STRICT);
        assertEquals(new OrderOutcome.Answered(OK), outcome(owner.onAnswered(ticket.id(), 1, OK, true, ms(20))));
        assertEquals(new OrderOutcome.Answered(OK), outcome(execute("body", OrderRules.STRICT, 30)));
        assertEquals(new OrderOutcome.Answered(OK), outcome(owner.onQuery(call(), ticket, ms(40))));
    }

    /** Guards against a write by an owner that was paused until after the ticket expired. */
    @Test
    void anOwnerThatPausesPastExpiryBeforeTheWriteVoidsTheTicketInsteadOfWriting() {
        execute("body", OrderRules.STRICT, 9_000, 60_000);
        List<OrderAction> actions = owner.beforeWrite(ticket.id(), 1, ms(LIFETIME_MS + 1));
        assertTrue(actions.stream().noneMatch(OrderAction.WriteNow.class::isInstance));
        assertEquals(RunState.NOT_RUN, outcome(actions).run());
        assertEquals(
                RunState.NOT_RUN,
                outcome(execute("body", OrderRules.STRICT, 10_100)).run());
        assertTrue(owner.beforeWrite(ticket.id(), 1, ms(10_200)).stream()
                .noneMatch(OrderAction.WriteNow.class::isInstance));
    }

    /** Guards against a write after the deadline of the call. */
    @Test
    void aDeadlinePassedBeforeTheWriteVoidsTheTicket() {
        execute("body", OrderRules.STRICT, 100, 50);
        List<OrderAction> actions = owner.beforeWrite(ticket.id(), 1, ms(151));
        assertEquals(RunState.NOT_RUN, outcome(actions).run());
        assertEquals(TicketState.NOT_RUN, owner.state(ticket.id()).orElseThrow());
    }

    /** Guards against a retry that runs a call after notRun was reported for it. */
    @Test
    void afterNotRunIsReportedNoLaterCallRunsTheTicket() {
        execute("body", OrderRules.STRICT, 0);
        assertEquals(
                RunState.NOT_RUN,
                outcome(owner.onConnectFailed(ticket.id(), 1, false, ms(5))).run());
        assertEquals(
                RunState.NOT_RUN,
                outcome(execute("body", OrderRules.STRICT, 10)).run());
    }

    @Test
    void afterAFailedConnectionOtherServersAreTriedUpToTheMaximumOfAttempts() {
        execute("body", OrderRules.STRICT, 0);
        for (int attempt = 1; attempt < TicketOwnerConfig.DEFAULT.maxAttempts(); attempt++) {
            OrderAction next = owner.onConnectFailed(ticket.id(), attempt, true, ms(attempt))
                    .get(0);
            assertEquals(
                    attempt + 1,
                    assertInstanceOf(OrderAction.StartWrite.class, next).attempt());
        }
        int last = TicketOwnerConfig.DEFAULT.maxAttempts();
        assertEquals(
                RunState.NOT_RUN,
                outcome(owner.onConnectFailed(ticket.id(), last, true, ms(9))).run());
    }

    /** Guards against reporting notRun for a call that the service may have run. */
    @Test
    void aConnectionThatBreaksAfterTheWriteBeganIsUnknownAndALateAnswerStillSettlesIt() {
        begin(OrderRules.STRICT);
        assertEquals(
                RunState.UNKNOWN,
                outcome(owner.onBroken(ticket.id(), 1, true, ms(20))).run());
        assertEquals(
                RunState.UNKNOWN,
                outcome(execute("body", OrderRules.STRICT, 30)).run());
        owner.onAnswered(ticket.id(), 1, OK, true, ms(40));
        assertEquals(
                RunState.RAN, outcome(owner.onQuery(call(), ticket, ms(50))).run());
    }

    @Test
    void anAnswerAfterTheCallersTimeoutIsKeptForTheNextQuery() {
        execute("body", OrderRules.STRICT, 0, 100);
        owner.beforeWrite(ticket.id(), 1, ms(10));
        assertEquals(RunState.UNKNOWN, outcome(owner.onTick(ms(100))).run());
        assertTrue(owner.onAnswered(ticket.id(), 1, OK, true, ms(200)).isEmpty());
        assertEquals(new OrderOutcome.Answered(OK), outcome(owner.onQuery(call(), ticket, ms(300))));
    }

    @Test
    void aSecondCallWithTheSameBodyWaitsAndOneWithAnotherBodyIsRefused() {
        begin(OrderRules.STRICT);
        assertInstanceOf(
                OrderAction.AwaitOutcome.class,
                execute("body", OrderRules.STRICT, 20).get(0));
        OrderOutcome refused = outcome(execute("other body", OrderRules.STRICT, 20));
        assertEquals(
                ProblemKind.TICKET_CONFLICT,
                ((OrderOutcome.Unanswered) refused).problem().kind());
        assertEquals(RunState.UNKNOWN, refused.run());
        assertEquals(2, owner.onAnswered(ticket.id(), 1, OK, true, ms(30)).size());
    }

    @Test
    void aBrokenWriteIsRetriedOnlyIfTheServiceHonoursTheIdempotencyKey() {
        begin(KEYED);
        OrderAction next = owner.onBroken(ticket.id(), 1, true, ms(20)).get(0);
        assertEquals(2, assertInstanceOf(OrderAction.StartWrite.class, next).attempt());
        assertEquals(
                RunState.UNKNOWN,
                outcome(owner.onConnectFailed(ticket.id(), 2, false, ms(30))).run());
    }

    /** Guards against trusting a not-run answer against the settings, or a duplicate of one for an earlier attempt. */
    @Test
    void onlyATrustedNotRunAnswerToTheOnlyWriteVoidsTheTicket() {
        begin(OrderRules.STRICT);
        assertEquals(
                RunState.UNKNOWN,
                outcome(owner.onAnswered(ticket.id(), 1, NOT_RUN_CLAIM, false, ms(20)))
                        .run());

        Ticket second = issue(owner, 0);
        owner.onExecute(executeCall(second, "body", TRUSTED, 0, 5_000), 0);
        owner.beforeWrite(second.id(), 1, ms(1));
        owner.onAnswered(second.id(), 1, NOT_RUN_CLAIM, true, ms(2));
        owner.beforeWrite(second.id(), 2, ms(3));
        assertTrue(owner.onAnswered(second.id(), 1, NOT_RUN_CLAIM, true, ms(4)).isEmpty());
        assertEquals(TicketState.WRITING, owner.state(second.id()).orElseThrow());
        assertEquals(
                RunState.NOT_RUN,
                outcome(owner.onAnswered(second.id(), 2, NOT_RUN_CLAIM, false, ms(5)))
                        .run());
    }

    /** Guards against reporting notRun when the first of two writes with the same key may have run. */
    @Test
    void aNotRunAnswerToTheSecondWriteDoesNotCoverTheFirst() {
        begin(KEYED_TRUSTED);
        owner.onBroken(ticket.id(), 1, true, ms(20));
        owner.beforeWrite(ticket.id(), 2, ms(30));
        assertEquals(
                RunState.UNKNOWN,
                outcome(owner.onAnswered(ticket.id(), 2, NOT_RUN_CLAIM, false, ms(40)))
                        .run());
    }

    /** Guards against answering a query with notRun while the call itself is still on its way to the owner. */
    @Test
    void aQueryOfAnIssuedTicketIsUnknownUntilItExpires() {
        assertEquals(
                RunState.UNKNOWN, outcome(owner.onQuery(call(), ticket, ms(1))).run());
        assertEquals(
                RunState.NOT_RUN,
                outcome(owner.onQuery(call(), ticket, ms(LIFETIME_MS))).run());
        assertEquals(
                RunState.NOT_RUN,
                outcome(execute("body", OrderRules.STRICT, LIFETIME_MS + 1)).run());
    }

    @Test
    void aTicketOfAnEarlierProcessIsUnknownAndOneOfAnotherHostIsForwarded() {
        TicketOwner restarted = new TicketOwner(new HostIncarnation(SELF.host(), 8), TicketOwnerConfig.DEFAULT);
        ExecuteCall call = executeCall(ticket, "body", OrderRules.STRICT, 0, 1_000);
        assertEquals(RunState.UNKNOWN, outcome(restarted.onExecute(call, ms(1))).run());
        TicketOwner other = new TicketOwner(new HostIncarnation(HostId.of("h2"), 7), TicketOwnerConfig.DEFAULT);
        assertEquals(
                SELF,
                assertInstanceOf(
                                OrderAction.Forward.class,
                                other.onExecute(call, ms(1)).get(0))
                        .owner());
    }

    /** Guards against a second run after the entry of the first was removed. */
    @Test
    void afterTheRetentionPeriodACallIsUnknownAndNeverWritten() {
        begin(OrderRules.STRICT);
        owner.onAnswered(ticket.id(), 1, OK, true, ms(20));
        owner.onTick(ms(LIFETIME_MS + 60_000));
        assertEquals(0, owner.size());
        assertEquals(
                RunState.UNKNOWN,
                outcome(execute("body", OrderRules.STRICT, LIFETIME_MS + 60_001))
                        .run());
    }

    @Test
    void aFullTableRefusesOnlyNewTicketsAndReturnsARetryAfter() {
        TicketOwner small = new TicketOwner(SELF, TicketOwnerConfig.DEFAULT.withCapacity(3, 2));
        Ticket first = issue(small, 0);
        issue(small, 0);
        Result<Ticket> shareUsed = small.issue(ORG, SERVICE, 0);
        assertEquals(
                ProblemKind.OVERLOADED,
                ((Result.Failed<Ticket>) shareUsed).problem().kind());
        assertTrue(small.issue(OrganisationId.of("rook"), SERVICE, 0).isOk());
        Problem full = ((Result.Failed<Ticket>) small.issue(OrganisationId.of("wren"), SERVICE, 0)).problem();
        assertTrue(full.retryAfterMs() > 0);
        ExecuteCall call = executeCall(first, "body", OrderRules.STRICT, 0, 1_000);
        assertInstanceOf(OrderAction.StartWrite.class, small.onExecute(call, 1).get(0));
    }

    @Test
    void aDrainingOwnerIssuesNoTicketsAndFinishesOpenOnes() {
        owner.drain();
        assertFalse(owner.issue(ORG, SERVICE, ms(1)).isOk());
        assertEquals(1, owner.openCount());
        begin(OrderRules.STRICT);
        owner.onAnswered(ticket.id(), 1, OK, true, ms(20));
        assertEquals(0, owner.openCount());
    }

    // Helpers

    private void begin(OrderRules rules) {
        execute("body", rules, 0);
        assertInstanceOf(
                OrderAction.WriteNow.class,
                owner.beforeWrite(ticket.id(), 1, ms(10)).get(0));
    }

    private List<OrderAction> execute(String body, OrderRules rules, long nowMs) {
        return execute(body, rules, nowMs, 5_000);
    }

    private List<OrderAction> execute(String body, OrderRules rules, long nowMs, long timeLeftMs) {
        return owner.onExecute(executeCall(ticket, body, rules, nowMs, timeLeftMs), ms(nowMs));
    }

    private ExecuteCall executeCall(Ticket of, String body, OrderRules rules, long nowMs, long timeLeftMs) {
        BodyDigest digest = BodyDigest.of(body.getBytes(StandardCharsets.UTF_8));
        return new ExecuteCall(call(), of, digest, rules, Deadline.after(ms(nowMs), timeLeftMs));
    }

    private CallId call() {
        nextCall++;
        return new CallId(nextCall);
    }

    private static Ticket issue(TicketOwner from, long nowNanos) {
        return from.issue(ORG, SERVICE, nowNanos).orThrow(Location.of("test"));
    }

    private static OrderOutcome outcome(List<OrderAction> actions) {
        return actions.stream()
                .filter(OrderAction.Reply.class::isInstance)
                .map(action -> ((OrderAction.Reply) action).outcome())
                .findFirst()
                .orElseThrow();
    }

    private static long ms(long value) {
        return TimeUnit.MILLISECONDS.toNanos(value);
    }
}

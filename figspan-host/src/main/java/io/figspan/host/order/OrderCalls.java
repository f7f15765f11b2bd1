package io.figspan.host.order;

import io.figspan.cluster.message.PeerMessage;
import io.figspan.control.ticket.BodyDigest;
import io.figspan.control.ticket.CallId;
import io.figspan.control.ticket.ExecuteCall;
import io.figspan.control.ticket.OrderAction;
import io.figspan.control.ticket.OrderRules;
import io.figspan.control.ticket.Ticket;
import io.figspan.control.ticket.TicketOwner;
import io.figspan.core.error.Problem;
import io.figspan.core.error.ProblemKind;
import io.figspan.core.event.Part;
import io.figspan.core.id.OrganisationId;
import io.figspan.core.id.RequestId;
import io.figspan.core.time.Deadline;
import io.figspan.host.HostContext;
import io.figspan.settings.ResolvedSettings;
import io.figspan.settings.SettingKey;
import io.vertx.core.buffer.Buffer;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import java.util.function.LongFunction;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Calls that wait for an outcome, and the driver of the ticket owner. Used on the event loop only. */
final class OrderCalls {
    private static final Logger LOG = LoggerFactory.getLogger(OrderCalls.class);
    private static final long TICK_MS = 20;

    /** A forwarded call gets its answer this long before the deadline, so that the owner's own answer can arrive. */
    private static final long FORWARD_MARGIN_MS = 20;

    private static final byte[] NO_BODY = new byte[0];

    private final HostContext context;
    private final TicketOwner owner;
    private final OrderForwarder forwarder;
    private final OrderWrites writes;
    private final Map<CallId, Call> waiting = new HashMap<>();
    private long nextCall;
    private boolean exiting;

    /**
     * One call.
     *
     * @param text the ticket as the caller sent it
     * @param relay makes the message to the owner when this host does not own the ticket; null for a call that another
     *     host has forwarded already
     */
    record Call(
            String text,
            OrganisationId organisation,
            RequestId request,
            Deadline deadline,
            Consumer<OutcomeForm> answer,
            Relay relay) {}

    /** Makes the message that asks the owner of a ticket. */
    @FunctionalInterface
    interface Relay {
        PeerMessage message(long correlationId, long leftMs);
    }

    OrderCalls(HostContext context, TicketOwner owner, OrderForwarder forwarder) {
        this.context = context;
        this.owner = owner;
        this.forwarder = forwarder;
        this.writes = new OrderWrites(context, owner, actions -> perform(actions, NO_BODY));
        context.vertx().setPeriodic(TICK_MS, id -> tick());
    }

    void execute(Call call, Ticket ticket, byte[] body) {
        if (exiting) {
            answer(add(call), stopped());
            return;
        }
        ResolvedSettings settings = context.tree().resolve(ticket.organisation(), ticket.service());
        OrderRules rules = new OrderRules(
                settings.flag(SettingKey.ORDERS_IDEMPOTENCY_KEY),
                settings.flag(SettingKey.ORDERS_TRUSTS_NOT_RUN_PROOF));
        ExecuteCall execute = new ExecuteCall(add(call), ticket, BodyDigest.of(body), rules, call.deadline());
        perform(owner.onExecute(execute, context.nowNanos()), body);
    }

    void query(Call call, Ticket ticket) {
        if (exiting) {
            answer(add(call), stopped());
            return;
        }
        perform(owner.onQuery(add(call), ticket, context.nowNanos()), NO_BODY);
    }

    /** Answers all calls, now and from now on, with an unknown outcome: the order may have been written. */
    void endAll() {
        exiting = true;
        for (CallId id : List.copyOf(waiting.keySet())) {
            LOG.info(
                    "{} order of request {} ended: the process exits before its outcome is known",
                    Part.TICKET.logPrefix(),
                    waiting.get(id).request());
            answer(id, stopped());
        }
    }

    private static OutcomeForm stopped() {
        return OutcomeForm.of(
                Problem.unknown(ProblemKind.HOST_STOPPED, "this host stops before the outcome of the order is known"));
    }

    private CallId add(Call call) {
        nextCall++;
        CallId id = new CallId(nextCall);
        waiting.put(id, call);
        return id;
    }

    private void tick() {
        perform(owner.onTick(context.nowNanos()), NO_BODY);
        writes.forgetSettled();
    }

    // Actions

    /** Carries out actions; {@code body} is that of the call which has just been passed to the owner. */
    private void perform(List<OrderAction> actions, byte[] body) {
        for (OrderAction action : actions) {
            if (action instanceof OrderAction.Reply reply) {
                answer(reply.call(), OutcomeForm.of(reply.outcome()));
            } else if (action instanceof OrderAction.StartWrite start && start.attempt() == 1) {
                writes.begin(start, body);
            } else if (action instanceof OrderAction.StartWrite start) {
                writes.connect(start);
            } else if (action instanceof OrderAction.WriteNow write) {
                writes.writeNow(write);
            } else if (action instanceof OrderAction.Abandon abandon) {
                writes.abandon(abandon);
            } else if (action instanceof OrderAction.Forward forward) {
                forward(forward);
            }
        }
    }

    private void answer(CallId id, OutcomeForm form) {
        Call call = waiting.remove(id);
        if (call == null) {
            return;
        }
        context.count("orders.told." + form.run());
        context.timeline().add(Part.TICKET, "told " + form.run(), call.request().value(), "status " + form.status());
        call.answer().accept(form);
    }

    /** Asks the owner once. Without an answer in time the outcome is unknown: the owner may have run the order. */
    private void forward(OrderAction.Forward forward) {
        Call call = waiting.get(forward.call());
        long leftMs = call.deadline().leftMs(context.nowNanos()) - FORWARD_MARGIN_MS;
        if (call.relay() == null || leftMs <= 0) {
            answer(forward.call(), unreachable("the ticket belongs to " + forward.owner()));
            return;
        }
        LongFunction<PeerMessage> message = id -> call.relay().message(id, leftMs);
        var unused = forwarder
                .forward(forward.owner(), message, leftMs)
                .subscribe(
                        outcome -> answer(
                                forward.call(),
                                new OutcomeForm(
                                        outcome.httpStatus(),
                                        outcome.contentType(),
                                        Buffer.buffer(outcome.body().toArray()),
                                        0)),
                        cause -> answer(
                                forward.call(),
                                unreachable("no answer from " + forward.owner() + ": " + cause.getMessage())));
    }

    private static OutcomeForm unreachable(String detail) {
        return OutcomeForm.of(Problem.unknown(ProblemKind.OWNER_UNREACHABLE, detail));
    }
}

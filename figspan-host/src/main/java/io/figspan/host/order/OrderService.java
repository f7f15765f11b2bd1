package io.figspan.host.order;

import io.figspan.cluster.message.Bytes;
import io.figspan.cluster.message.Peer;
import io.figspan.cluster.message.PeerMessage;
import io.figspan.control.ticket.Ticket;
import io.figspan.control.ticket.TicketCodec;
import io.figspan.control.ticket.TicketOwner;
import io.figspan.control.ticket.TicketOwnerConfig;
import io.figspan.core.error.FigspanException;
import io.figspan.core.error.Problem;
import io.figspan.core.error.ProblemKind;
import io.figspan.core.error.Result;
import io.figspan.core.id.OrganisationId;
import io.figspan.core.id.RequestId;
import io.figspan.core.id.ServiceId;
import io.figspan.core.time.Deadline;
import io.figspan.host.HostContext;
import io.figspan.host.entry.CallerHeaders;
import io.figspan.host.entry.OrderHandler;
import io.figspan.host.entry.Problems;
import io.figspan.host.entry.RequestHead;
import io.figspan.settings.ResolvedSettings;
import io.figspan.settings.SettingKey;
import io.reactivex.rxjava3.core.Single;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpServerRequest;
import io.vertx.core.json.DecodeException;
import io.vertx.core.json.Json;
import io.vertx.core.json.JsonObject;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.Consumer;

/** The endpoints of tickets and orders, for callers and for other hosts. Used on the event loop only. */
public final class OrderService implements OrderHandler, io.figspan.host.peer.OrderHandler {
    /** Longest body of an order: with its ticket and ids it has to fit into one frame between hosts of 65,536 bytes. */
    public static final int MAX_BODY_BYTES = 60_000;

    /** Time kept for the answer on its way to the caller. */
    private static final long REPLY_MARGIN_MS = 30;

    /** Bound of a query that another host forwards; the answer needs no backend server. */
    private static final long QUERY_MS = 1_000;

    private final HostContext context;
    private final TicketOwner owner;
    private final OrderCalls calls;

    public OrderService(HostContext context, OrderForwarder forwarder) {
        this.context = context;
        this.owner = new TicketOwner(context.incarnation(), TicketOwnerConfig.DEFAULT);
        this.calls = new OrderCalls(context, owner, forwarder);
    }

    /** From now on no ticket is issued; tickets already issued can still be executed. */
    public void drain() {
        owner.drain();
    }

    /** Answers the calls that wait, and from now on all others, because the process exits. */
    public void endAll() {
        calls.endAll();
    }

    /** Orders that are being executed here. */
    public int inFlight() {
        return owner.inFlightCount();
    }

    /** Tickets that can still be executed here, and orders that are being executed. */
    public int openTickets() {
        return owner.openCount();
    }

    // Callers

    @Override
    public void issue(HttpServerRequest request, RequestHead head, Buffer body) {
        try {
            ServiceId service = serviceOf(head, body);
            ResolvedSettings settings = context.tree().resolve(head.organisation(), service);
            long validMs = settings.integer(SettingKey.ORDERS_TICKET_VALID_MS);
            long keptMs = settings.integer(SettingKey.ORDERS_OUTCOME_KEPT_MS);
            Result<Ticket> issued = owner.issue(head.organisation(), service, validMs, keptMs, context.nowNanos());
            if (issued instanceof Result.Failed<Ticket> failed) {
                context.count("tickets.refused");
                Problems.write(request.response(), failed.problem());
                return;
            }
            Ticket ticket = ((Result.Ok<Ticket>) issued).value();
            Map<String, Object> answer = new TreeMap<>();
            answer.put("ticket", tickets().encode(ticket));
            answer.put("owner", ticket.owner().toString());
            answer.put("expiresInMs", validMs);
            context.count("tickets.issued");
            request.response().putHeader("Content-Type", "application/json").end(Json.encode(answer));
        } catch (FigspanException e) {
            Problems.write(request.response(), Problem.notRun(e.kind(), e.detail()));
        } catch (DecodeException | ClassCastException e) {
            String detail = "the body is not a JSON object with the member service";
            Problems.write(request.response(), Problem.notRun(ProblemKind.MALFORMED_BODY, detail));
        }
    }

    @Override
    public void run(HttpServerRequest request, RequestHead head, Buffer body) {
        Consumer<OutcomeForm> answer = form -> form.write(request.response());
        if (body.length() > MAX_BODY_BYTES) {
            // notRun is true here: every host refuses each body of this size, whatever its ticket.
            String detail = "the order is longer than " + MAX_BODY_BYTES + " bytes";
            answer.accept(OutcomeForm.of(Problem.notRun(ProblemKind.BODY_TOO_LARGE, detail)));
            return;
        }
        String text = request.getHeader(CallerHeaders.TICKET);
        Bytes bytes = Bytes.copyOf(body.getBytes());
        OrderCalls.Relay relay = (id, leftMs) -> new PeerMessage.ForwardOrder(
                id, text, head.organisation().value(), head.request().value(), leftMs, bytes);
        OrderCalls.Call call =
                new OrderCalls.Call(text, head.organisation(), head.request(), deadline(head), answer, relay);
        withTicket(call, ticket -> calls.execute(call, ticket, bytes.toArray()));
    }

    @Override
    public void outcome(HttpServerRequest request, RequestHead head, String text) {
        OrderCalls.Relay relay = (id, leftMs) ->
                new PeerMessage.OutcomeQuery(id, text, head.organisation().value());
        OrderCalls.Call call = new OrderCalls.Call(
                text,
                head.organisation(),
                head.request(),
                deadline(head),
                form -> form.write(request.response()),
                relay);
        withTicket(call, ticket -> calls.query(call, ticket));
    }

    // Other hosts

    @Override
    public Single<PeerMessage.OrderOutcome> forwarded(Peer from, PeerMessage.ForwardOrder order) {
        return Single.create(emitter -> {
            OrderCalls.Call call = new OrderCalls.Call(
                    order.ticket(),
                    OrganisationId.of(order.organisation()),
                    RequestId.of(order.requestId()),
                    Deadline.after(context.nowNanos(), order.leftMs()),
                    form -> emitter.onSuccess(message(order.correlationId(), form)),
                    null);
            withTicket(call, ticket -> calls.execute(call, ticket, order.body().toArray()));
        });
    }

    @Override
    public Single<PeerMessage.OrderOutcome> outcome(Peer from, PeerMessage.OutcomeQuery query) {
        return Single.create(emitter -> {
            OrderCalls.Call call = new OrderCalls.Call(
                    query.ticket(),
                    OrganisationId.of(query.organisation()),
                    RequestId.of("query"),
                    Deadline.after(context.nowNanos(), QUERY_MS),
                    form -> emitter.onSuccess(message(query.correlationId(), form)),
                    null);
            withTicket(call, ticket -> calls.query(call, ticket));
        });
    }

    private static PeerMessage.OrderOutcome message(long correlationId, OutcomeForm form) {
        return new PeerMessage.OrderOutcome(
                correlationId,
                form.status(),
                form.mediaType(),
                Bytes.copyOf(form.body().getBytes()));
    }

    // Steps

    private void withTicket(OrderCalls.Call call, Consumer<Ticket> action) {
        Result<Ticket> ticket;
        try {
            ticket = tickets().decode(call.text(), call.organisation());
        } catch (FigspanException e) {
            call.answer().accept(OutcomeForm.of(Problem.unknown(e.kind(), e.detail())));
            return;
        }
        if (ticket instanceof Result.Failed<Ticket> failed) {
            context.count("tickets.forged");
            call.answer().accept(OutcomeForm.of(failed.problem()));
            return;
        }
        action.accept(((Result.Ok<Ticket>) ticket).value());
    }

    private TicketCodec tickets() {
        return new TicketCodec(context.tokenKeys());
    }

    private static ServiceId serviceOf(RequestHead head, Buffer body) {
        String named = body.length() == 0 ? null : new JsonObject(body).getString("service");
        return named == null ? head.service() : ServiceId.of(named);
    }

    private Deadline deadline(RequestHead head) {
        ResolvedSettings settings = context.tree().resolve(head.organisation(), head.service());
        long leftMs = head.deadlineMs().orElse(settings.integer(SettingKey.ORDERS_DEADLINE_MS));
        return Deadline.after(context.nowNanos(), Math.max(1, leftMs - REPLY_MARGIN_MS));
    }
}

package io.figspan.bench.faults;

import io.figspan.control.ticket.BodyDigest;
import io.figspan.control.ticket.CallId;
import io.figspan.control.ticket.ExecuteCall;
import io.figspan.control.ticket.OrderAction;
import io.figspan.control.ticket.OrderRules;
import io.figspan.control.ticket.Ticket;
import io.figspan.control.ticket.TicketCodec;
import io.figspan.control.ticket.TicketOwner;
import io.figspan.control.ticket.TicketOwnerConfig;
import io.figspan.control.ticket.TicketState;
import io.figspan.control.token.TokenKeys;
import io.figspan.core.error.Result;
import io.figspan.core.error.RunState;
import io.figspan.core.id.OrganisationId;
import io.figspan.core.id.ServiceId;
import io.figspan.core.id.TicketId;
import io.figspan.core.time.Deadline;
import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Consumer;

/** A host that executes orders with the real ticket owner, or with one of the naive schemes. */
final class OrderHost {
    private static final OrganisationId ORGANISATION = OrganisationId.of("kite");
    private static final TicketCodec CODEC = new TicketCodec(TokenKeys.ofText("key of the fault runs"));
    private static final long CONNECT_MS = 400;
    private static final long ANSWER_MS = 1_500;
    private static final long TICK_MS = 50;
    private static final long FORWARD_MARGIN_MS = 100;
    private static final long NAIVE_WAIT_MS = 60;

    private final FaultRun faultRun;
    private final OrderScheme scheme;
    private final FaultyProcess process;
    private final OrderService service;
    private final Map<CallId, Consumer<RunState>> replies = new HashMap<>();
    private final Map<TicketId, String> orders = new HashMap<>();
    private final Map<String, RunState> outcomesByKey = new HashMap<>();
    private OrderHost peer;
    private TicketOwner owner;
    private long nextCall;

    OrderHost(FaultRun faultRun, OrderScheme scheme, String name, OrderService service) {
        this.faultRun = faultRun;
        this.scheme = scheme;
        this.service = service;
        this.process = new FaultyProcess(faultRun, name, this::reset);
        reset();
    }

    FaultyProcess process() {
        return process;
    }

    void setPeer(OrderHost newPeer) {
        peer = newPeer;
    }

    private void reset() {
        owner = new TicketOwner(process.incarnation(), TicketOwnerConfig.DEFAULT.withTimes(4_000, 20_000, 2_000));
        replies.clear();
        orders.clear();
        outcomesByKey.clear();
        process.every(TICK_MS, () -> perform(owner.onTick(faultRun.nowNanos())));
    }

    // Calls

    void issue(String order, Consumer<String> reply) {
        if (scheme == OrderScheme.KEY_PER_HOST) {
            reply.accept("key-" + order);
            return;
        }
        Result<Ticket> issued = owner.issue(ORGANISATION, ServiceId.of("orders"), faultRun.nowNanos());
        if (issued instanceof Result.Ok<Ticket> ok) {
            reply.accept(CODEC.encode(ok.value()));
        }
    }

    void execute(String text, String order, long leftMs, Consumer<RunState> reply) {
        if (scheme == OrderScheme.KEY_PER_HOST) {
            executeByKey(text, order, reply);
            return;
        }
        Result<Ticket> decoded = CODEC.decode(text, ORGANISATION);
        if (!(decoded instanceof Result.Ok<Ticket> ok)) {
            reply.accept(RunState.UNKNOWN);
            return;
        }
        CallId call = newCall(reply);
        Ticket ticket = ok.value();
        orders.put(ticket.id(), order);
        BodyDigest body = BodyDigest.of(order.getBytes(StandardCharsets.UTF_8));
        Deadline deadline = Deadline.after(faultRun.nowNanos(), leftMs);
        perform(owner.onExecute(new ExecuteCall(call, ticket, body, rules(), deadline), faultRun.nowNanos()));
        if (scheme == OrderScheme.NO_VOID) {
            process.after(NAIVE_WAIT_MS, () -> answerNotRunWithoutVoiding(call, ticket.id()));
        }
    }

    private OrderRules rules() {
        return new OrderRules(
                service.rules().honoursIdempotencyKey() || scheme == OrderScheme.REPEATS_WRITES,
                service.rules().notRunProofTrusted() || scheme == OrderScheme.TRUSTS_PROOFS);
    }

    private CallId newCall(Consumer<RunState> reply) {
        nextCall++;
        CallId call = new CallId(nextCall);
        replies.put(call, reply);
        return call;
    }

    private void answer(CallId call, RunState run) {
        Consumer<RunState> reply = replies.remove(call);
        if (reply != null) {
            reply.accept(run);
        }
    }

    // Actions

    private void perform(List<OrderAction> actions) {
        for (OrderAction action : actions) {
            if (action instanceof OrderAction.StartWrite start) {
                connect(start);
            } else if (action instanceof OrderAction.WriteNow write) {
                // The process may pause between its check and the write.
                process.after(faultRun.random().nextInt(3), () -> write(write));
            } else if (action instanceof OrderAction.Reply reply) {
                answer(reply.call(), reply.outcome().run());
            } else if (action instanceof OrderAction.Forward forward) {
                forward(forward);
            }
        }
    }

    private void connect(OrderAction.StartWrite start) {
        TicketId id = start.ticket().id();
        FaultyProcess server = server(start.attempt());
        boolean[] ended = {false};
        faultRun.sendOnce(
                process,
                server,
                () -> faultRun.sendOnce(server, process, () -> {
                    if (!ended[0]) {
                        ended[0] = true;
                        perform(owner.beforeWrite(id, start.attempt(), faultRun.nowNanos()));
                    }
                }));
        process.after(CONNECT_MS, () -> {
            if (!ended[0]) {
                ended[0] = true;
                perform(owner.onConnectFailed(id, start.attempt(), true, faultRun.nowNanos()));
            }
        });
    }

    private void write(OrderAction.WriteNow write) {
        TicketId id = write.ticket().id();
        FaultyProcess server = server(write.attempt());
        String text = CODEC.encode(write.ticket());
        faultRun.sendOnce(
                process,
                server,
                () -> service.receive(
                        text,
                        orders.get(id),
                        answer -> faultRun.send(
                                server,
                                process,
                                () -> perform(
                                        owner.onAnswered(id, write.attempt(), answer, true, faultRun.nowNanos())))));
        process.after(ANSWER_MS, () -> perform(owner.onBroken(id, write.attempt(), true, faultRun.nowNanos())));
    }

    private void forward(OrderAction.Forward forward) {
        String text = CODEC.encode(forward.ticket());
        String order = orders.get(forward.ticket().id());
        long leftMs = 1_800;
        faultRun.send(
                process,
                peer.process,
                () -> peer.execute(
                        text,
                        order,
                        leftMs,
                        run -> faultRun.send(peer.process, process, () -> answer(forward.call(), run))));
        RunState unreachable = scheme == OrderScheme.NO_VOID ? RunState.NOT_RUN : RunState.UNKNOWN;
        process.after(leftMs + FORWARD_MARGIN_MS, () -> answer(forward.call(), unreachable));
    }

    private FaultyProcess server(int attempt) {
        return service.servers().get(attempt % service.servers().size());
    }

    // Naive schemes

    private void answerNotRunWithoutVoiding(CallId call, TicketId ticket) {
        if (owner.state(ticket).filter(state -> state == TicketState.CONNECTING).isPresent()) {
            answer(call, RunState.NOT_RUN);
        }
    }

    private void executeByKey(String key, String order, Consumer<RunState> reply) {
        RunState known = outcomesByKey.get(key);
        if (known != null) {
            reply.accept(known);
            return;
        }
        outcomesByKey.put(key, RunState.UNKNOWN);
        Set<String> answered = new HashSet<>();
        FaultyProcess server = server(faultRun.random().nextInt(2));
        faultRun.sendOnce(
                process,
                server,
                () -> service.receive(
                        key,
                        order,
                        ran -> faultRun.send(server, process, () -> {
                            outcomesByKey.put(key, RunState.RAN);
                            if (answered.add(key)) {
                                reply.accept(ran.claimsNotRun() ? RunState.UNKNOWN : RunState.RAN);
                            }
                        })));
        process.after(ANSWER_MS, () -> {
            if (answered.add(key)) {
                reply.accept(RunState.UNKNOWN);
            }
        });
    }
}

package io.figspan.host.order;

import io.figspan.control.ticket.OrderAction;
import io.figspan.control.ticket.Ticket;
import io.figspan.control.ticket.TicketOwner;
import io.figspan.control.ticket.TicketOwnerConfig;
import io.figspan.control.ticket.TicketState;
import io.figspan.core.event.Part;
import io.figspan.core.id.BackendServerId;
import io.figspan.core.id.ServiceId;
import io.figspan.core.id.TicketId;
import io.figspan.core.time.Deadline;
import io.figspan.host.HostContext;
import io.figspan.host.backend.BackendTable;
import io.vertx.rxjava3.core.Vertx;
import io.vertx.rxjava3.core.http.HttpClientRequest;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Consumer;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Connections and writes to plain services on behalf of the ticket owner. Used on the event loop only. */
final class OrderWrites {
    private static final Logger LOG = LoggerFactory.getLogger(OrderWrites.class);
    private static final String PREFIX = Part.TICKET.logPrefix();

    private final HostContext context;
    private final TicketOwner owner;
    private final Consumer<List<OrderAction>> perform;
    private final ServiceWriter writer;
    private final ServerChoice choice;
    private final Map<TicketId, Write> open = new HashMap<>();

    OrderWrites(HostContext context, TicketOwner owner, Consumer<List<OrderAction>> perform) {
        this.context = context;
        this.owner = owner;
        this.perform = perform;
        this.writer = new ServiceWriter(Vertx.newInstance(context.vertx()), context.metrics());
        this.choice = new ServerChoice(context.backends(), context.random());
    }

    /** Connects for the first attempt of a ticket, with the body of the call that executes it. */
    void begin(OrderAction.StartWrite start, byte[] body) {
        open.put(start.ticket().id(), new Write(start.ticket(), body, start.deadline()));
        connect(start);
    }

    /** Connects for any attempt; the owner has checked that another one is allowed. */
    void connect(OrderAction.StartWrite start) {
        Write write = open.get(start.ticket().id());
        if (write == null) {
            perform.accept(owner.onConnectFailed(start.ticket().id(), start.attempt(), false, now()));
            return;
        }
        Optional<BackendTable.Server> server = choice.choose(write.service(), write.tried, now());
        if (server.isEmpty()) {
            perform.accept(owner.onConnectFailed(write.id(), start.attempt(), false, now()));
            return;
        }
        write.tried.add(server.get().id());
        var unused = writer.connect(server.get())
                .subscribe(
                        connected -> onConnected(write, start.attempt(), connected),
                        cause -> onConnectFailed(write, start.attempt(), server.get(), cause));
    }

    /** Writes on the connection of this attempt; the owner has just allowed it. */
    void writeNow(OrderAction.WriteNow action) {
        Write write = open.get(action.ticket().id());
        HttpClientRequest connected = write == null ? null : write.connections.remove(action.attempt());
        if (connected == null) {
            // Nothing was written, but the ticket says that the write began; it stays unknown.
            perform.accept(owner.onBroken(action.ticket().id(), action.attempt(), false, now()));
            return;
        }
        long closeAfterMs = Math.max(1, write.deadline.leftMs(now()) + TicketOwnerConfig.DEFAULT.lateAnswerMs());
        long timer = context.vertx().setTimer(closeAfterMs, id -> connected.reset());
        var unused = writer.write(connected, write.id().value(), write.body)
                .doFinally(() -> context.vertx().cancelTimer(timer))
                .subscribe(
                        answer -> perform.accept(
                                owner.onAnswered(write.id(), action.attempt(), answer, hasUntried(write), now())),
                        cause -> onBroken(write, action.attempt(), cause));
    }

    /** Closes a connection that must not be written to. */
    void abandon(OrderAction.Abandon action) {
        Write write = open.get(action.ticket());
        HttpClientRequest connected = write == null ? null : write.connections.remove(action.attempt());
        if (connected != null) {
            connected.reset();
        }
    }

    /** Forgets the bodies of tickets that are no longer in flight. */
    void forgetSettled() {
        open.keySet()
                .removeIf(id -> owner.state(id).filter(TicketState::isInFlight).isEmpty());
    }

    // Events

    private void onConnected(Write write, int attempt, HttpClientRequest connected) {
        write.connections.put(attempt, connected);
        perform.accept(owner.beforeWrite(write.id(), attempt, now()));
        HttpClientRequest unused = write.connections.remove(attempt);
        if (unused != null) {
            unused.reset();
        }
    }

    private void onConnectFailed(Write write, int attempt, BackendTable.Server server, Throwable cause) {
        LOG.warn("{} ticket {}: no connection to {}: {}", PREFIX, write.id(), server.id(), cause.getMessage());
        choice.onFailure(server.id(), now());
        perform.accept(owner.onConnectFailed(write.id(), attempt, hasUntried(write), now()));
    }

    private void onBroken(Write write, int attempt, Throwable cause) {
        LOG.warn("{} ticket {}: broken after the write began: {}", PREFIX, write.id(), cause.getMessage());
        context.count("orders.brokenWrites");
        perform.accept(owner.onBroken(write.id(), attempt, hasUntried(write), now()));
    }

    private boolean hasUntried(Write write) {
        return choice.hasUntried(write.service(), write.tried);
    }

    private long now() {
        return context.nowNanos();
    }

    /** What is needed to write one ticket's order. */
    private static final class Write {
        private final Ticket ticket;
        private final byte[] body;
        private final Deadline deadline;
        private final Set<BackendServerId> tried = new HashSet<>();
        private final Map<Integer, HttpClientRequest> connections = new HashMap<>();

        Write(Ticket ticket, byte[] body, Deadline deadline) {
            this.ticket = ticket;
            this.body = body;
            this.deadline = deadline;
        }

        TicketId id() {
            return ticket.id();
        }

        ServiceId service() {
            return ticket.service();
        }
    }
}

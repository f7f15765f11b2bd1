package io.figspan.cli.caller;

import com.fasterxml.jackson.annotation.JsonIgnoreProperties;
import com.fasterxml.jackson.annotation.JsonProperty;
import io.reactivex.rxjava3.core.Single;
import io.vertx.core.http.HttpMethod;
import io.vertx.core.json.Json;
import java.util.concurrent.TimeUnit;

/**
 * One order of a caller: gets a ticket, sends the order, and after a break sends it again with the same ticket at the
 * next host. It takes a new ticket only when it was told that the order was not run.
 */
final class OrderCall {
    private static final long CALL_TIMEOUT_MS = 4_000;
    private static final int MAX_ATTEMPTS = 8;
    private static final int MAX_TICKETS = 3;
    private static final long PAUSE_MS = 100;

    /** What to order. */
    record Ask(String organisation, String service, String order, long deadlineMs) {}

    /** Body of a ticket request. */
    record TicketBody(@JsonProperty("service") String service) {}

    /** Body of an order. */
    record OrderBody(@JsonProperty("order") String order) {}

    /** Answer to a ticket request. */
    @JsonIgnoreProperties(ignoreUnknown = true)
    record TicketAnswer(@JsonProperty("ticket") String ticket) {}

    private final CallerHttp http;
    private final EntryHosts hosts;
    private final Ask ask;
    private int tickets;
    private int attempts;

    OrderCall(CallerHttp http, EntryHosts hosts, Ask ask) {
        this.http = http;
        this.hosts = hosts;
        this.ask = ask;
    }

    Single<OrderResult> run() {
        if (tickets >= MAX_TICKETS || attempts >= MAX_ATTEMPTS) {
            return Single.just(end("notRun", "no ticket led to a run"));
        }
        attempts++;
        String body = Json.encode(new TicketBody(ask.service()));
        return hosts.next()
                .flatMap(host -> http.call(host, HttpMethod.POST, "/v1/tickets", head(), body, CALL_TIMEOUT_MS))
                .map(reply -> http.read(reply, TicketAnswer.class).ticket())
                .onErrorReturnItem("")
                .flatMap(this::useTicket);
    }

    /** Failures after this point never lead to a new ticket by themselves, because the order may have been run. */
    private Single<OrderResult> useTicket(String ticket) {
        if (ticket.isEmpty()) {
            return pause().flatMap(ignored -> run());
        }
        tickets++;
        return send(ticket);
    }

    private Single<OrderResult> send(String ticket) {
        if (attempts >= MAX_ATTEMPTS) {
            return Single.just(end("unknown", "no host gave a final answer"));
        }
        attempts++;
        String body = Json.encode(new OrderBody(ask.order()));
        return hosts.next()
                .flatMap(host -> http.call(
                        host,
                        HttpMethod.POST,
                        "/v1/orders",
                        head().with("Figspan-Ticket", ticket),
                        body,
                        CALL_TIMEOUT_MS))
                .map(reply -> new Outcome(reply.status() == 200, reply.body()))
                .onErrorReturnItem(Outcome.BROKEN)
                .flatMap(outcome -> decide(ticket, outcome));
    }

    private record Outcome(boolean ran, String body) {
        static final Outcome BROKEN = new Outcome(false, "");
    }

    private Single<OrderResult> decide(String ticket, Outcome outcome) {
        if (outcome.ran()) {
            return Single.just(end("ran", ""));
        }
        if (outcome.body().isEmpty()) {
            return pause().flatMap(ignored -> send(ticket));
        }
        CallerHttp.ProblemBody problem = CallerHttp.parse(outcome.body(), CallerHttp.ProblemBody.class);
        if ("ran".equals(problem.run())) {
            return Single.just(end("ran", problem.kind()));
        }
        boolean isHostRefusal = "shuttingDown".equals(problem.kind());
        if (isHostRefusal) {
            return pause().flatMap(ignored -> send(ticket));
        }
        if ("notRun".equals(problem.run())) {
            return tickets < MAX_TICKETS
                    ? pause().flatMap(ignored -> run())
                    : Single.just(end("notRun", problem.kind()));
        }
        boolean askAgain = "ownerUnreachable".equals(problem.kind()) && attempts < MAX_ATTEMPTS;
        return askAgain ? pause().flatMap(ignored -> send(ticket)) : Single.just(end("unknown", problem.kind()));
    }

    private CallHead head() {
        return CallHead.of(ask.organisation(), ask.service(), ask.order(), ask.deadlineMs());
    }

    private Single<Long> pause() {
        return Single.timer(PAUSE_MS, TimeUnit.MILLISECONDS, http.scheduler());
    }

    private OrderResult end(String run, String detail) {
        return new OrderResult(ask.service(), ask.order(), run, tickets, attempts, detail);
    }
}

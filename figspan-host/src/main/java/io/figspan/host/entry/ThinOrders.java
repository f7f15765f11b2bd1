package io.figspan.host.entry;

import io.figspan.cluster.message.Peer;
import io.figspan.cluster.message.PeerMessage;
import io.figspan.core.error.Problem;
import io.figspan.core.error.ProblemKind;
import io.figspan.core.id.ServiceId;
import io.figspan.host.HostContext;
import io.figspan.host.backend.BackendTable;
import io.reactivex.rxjava3.core.Single;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpClient;
import io.vertx.core.http.HttpClientOptions;
import io.vertx.core.http.HttpMethod;
import io.vertx.core.http.HttpServerRequest;
import io.vertx.core.http.RequestOptions;
import io.vertx.core.json.Json;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** Orders at the issuing host only, without forwarding; used until the order driver is in place. */
public final class ThinOrders implements OrderHandler, io.figspan.host.peer.OrderHandler {
    private static final int MAX_TICKETS = 65_536;

    private final HostContext context;
    private final HttpClient client;
    private final Map<String, ServiceId> issued = new LinkedHashMap<>();

    public ThinOrders(HostContext context) {
        this.context = context;
        this.client = context.vertx().createHttpClient(new HttpClientOptions().setConnectTimeout(500));
    }

    @Override
    public void issue(HttpServerRequest request, RequestHead head, Buffer body) {
        if (issued.size() >= MAX_TICKETS) {
            Problems.write(
                    request.response(),
                    Problem.notRun(ProblemKind.OVERLOADED, "the ticket table is full")
                            .withRetryAfterMs(1_000));
            return;
        }
        String ticket = context.incarnation() + "." + context.sequence().incrementAndGet();
        issued.put(ticket, head.service());
        request.response()
                .end(Json.encode(
                        Map.of("ticket", ticket, "owner", context.incarnation().toString(), "expiresInMs", 60_000)));
    }

    @Override
    public void run(HttpServerRequest request, RequestHead head, Buffer body) {
        String ticket = request.getHeader(CallerHeaders.TICKET);
        ServiceId service = ticket == null ? null : issued.remove(ticket);
        if (service == null) {
            Problems.write(
                    request.response(),
                    Problem.unknown(ProblemKind.OUTCOME_UNKNOWN, "the ticket is not open at this host"));
            return;
        }
        List<BackendTable.Server> servers = context.backends().servers(service);
        if (servers.isEmpty()) {
            Problems.write(
                    request.response(), Problem.notRun(ProblemKind.NO_BACKEND_SERVER, "no server of " + service));
            return;
        }
        BackendTable.Server server = servers.get(context.random().nextInt(servers.size()));
        RequestOptions options = new RequestOptions()
                .setMethod(HttpMethod.POST)
                .setHost(server.address())
                .setPort(server.port())
                .setURI("/v1/run")
                .setTimeout(5_000)
                .putHeader("Figspan-Order-Id", ticket);
        client.request(options)
                .compose(call -> call.send(body))
                .compose(response -> response.body()
                        .map(answer ->
                                Map.of("ticket", ticket, "run", response.statusCode() == 200 ? "ran" : "unknown")))
                .onSuccess(answer -> request.response().end(Json.encode(answer)))
                .onFailure(cause -> Problems.write(
                        request.response(),
                        Problem.unknown(ProblemKind.OUTCOME_UNKNOWN, String.valueOf(cause.getMessage()))));
    }

    @Override
    public void outcome(HttpServerRequest request, RequestHead head, String ticket) {
        Problems.write(request.response(), Problem.unknown(ProblemKind.OUTCOME_UNKNOWN, "outcomes are not kept yet"));
    }

    @Override
    public Single<PeerMessage.OrderOutcome> forwarded(Peer from, PeerMessage.ForwardOrder order) {
        return Single.never();
    }

    @Override
    public Single<PeerMessage.OrderOutcome> outcome(Peer from, PeerMessage.OutcomeQuery query) {
        return Single.never();
    }
}

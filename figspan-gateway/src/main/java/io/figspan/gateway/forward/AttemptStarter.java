package io.figspan.gateway.forward;

import io.figspan.core.id.BackendServerId;
import io.figspan.core.id.OrganisationId;
import io.figspan.core.work.PrefillReader;
import io.figspan.gateway.backend.BackendServer;
import io.figspan.gateway.backend.HoldGroup;
import io.figspan.gateway.http.HttpConnection;
import io.figspan.gateway.protocol.AttemptParameters;
import io.figspan.policy.placing.Job;
import io.figspan.policy.placing.Placement;
import io.figspan.settings.gateway.Route;
import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.FullHttpRequest;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.concurrent.TimeUnit;

/** Opens the attempts of one request and sends the request to their backend servers. */
final class AttemptStarter {
    private final Forwarder forwarder;
    private final Route route;
    private final ReceivedRequest request;
    private final Optional<OrganisationId> organisation;
    private final Job job;
    private final Set<BackendServerId> usedServers = new HashSet<>();

    /**
     * Creates a starter.
     *
     * @param request remains owned by the caller of this constructor, and must not be released before the last send
     */
    AttemptStarter(
            Forwarder forwarder, Route route, ReceivedRequest request, Optional<OrganisationId> organisation, Job job) {
        this.forwarder = forwarder;
        this.route = route;
        this.request = request;
        this.organisation = organisation;
        this.job = job;
    }

    /** Opens an attempt without sending anything, so that its listener knows it before it can fail. */
    Attempt open(
            BackendServer server, Placement.Send placement, HoldGroup holds, Attempt.Listener listener, long nowNanos) {
        // A server may write the answer to an earlier send once more where the next one is due, under the same id.
        boolean isSentAgain = !usedServers.add(server.id());
        boolean mustBeNew = isSentAgain || !route.mayRepeat();
        HttpConnection connection = forwarder.pools().acquire(server.id(), mustBeNew, nowNanos);
        return new Attempt(
                listener,
                forwarder.backendProtocol(),
                forwarder.pools(),
                server.incarnation(),
                connection,
                holds,
                placement.readers().stream().map(PrefillReader::server).toList(),
                request.head().attemptId(),
                route.kind().isStreaming(),
                TimeUnit.MILLISECONDS.toNanos(route.patienceMs()),
                forwarder.responseBodyBudget());
    }

    /**
     * Sends the request to the server of an attempt.
     *
     * @param lastEventId id of the event behind which the server resumes a stream
     */
    void send(Attempt attempt, Placement.Send placement, OptionalLong lastEventId, long nowNanos) {
        AttemptParameters parameters = new AttemptParameters(
                attempt.server(),
                job.deadline().leftMs(nowNanos),
                organisation,
                placement.urgency(),
                readersOf(attempt),
                lastEventId);
        ByteBuf body = request.body().duplicate();
        FullHttpRequest message = forwarder.backendProtocol().encode(request.head(), body, parameters);
        attempt.send(message.retain());
    }

    private List<AttemptParameters.Reader> readersOf(Attempt attempt) {
        List<AttemptParameters.Reader> readers = new ArrayList<>();
        for (BackendServerId reader : attempt.readers()) {
            Optional<String> holdName = attempt.holds().holdNameAt(reader);
            Optional<BackendServer> server = forwarder.pools().find(reader);
            server.ifPresent(found -> readers.add(new AttemptParameters.Reader(found.address(), holdName)));
        }
        return readers;
    }
}

package io.figspan.gateway.forward;

import io.figspan.cluster.message.PeerMessage;
import io.figspan.cluster.message.SuspectId;
import io.figspan.cluster.message.SuspectKind;
import io.figspan.cluster.quarantine.CrashQuarantine;
import io.figspan.cluster.quarantine.QuarantineAction;
import io.figspan.cluster.quarantine.RequestIdentity;
import io.figspan.core.event.Part;
import io.figspan.core.id.BackendIncarnation;
import io.figspan.core.id.HostId;
import io.figspan.core.id.OrganisationId;
import io.figspan.core.id.RequestFingerprint;
import io.figspan.gateway.log.DecisionLog;
import io.figspan.gateway.metrics.GatewayMetrics;
import io.figspan.gateway.peer.PeerSender;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Stream;

/**
 * Drives the quarantine of requests and prompt parts that crash backend servers: passes on what this host observes,
 * exchanges the evidence with other hosts, and logs the decisions. All methods must be called on the event loop.
 */
public final class RequestCrashes {
    private final CrashQuarantine quarantine;
    private final DecisionLog log;
    private final GatewayMetrics metrics;
    private Optional<PeerSender> sender = Optional.empty();
    private Runnable quarantineListener = () -> {};

    public RequestCrashes(HostId self, DecisionLog log, GatewayMetrics metrics) {
        this.quarantine = new CrashQuarantine(self, System.nanoTime());
        this.log = log;
        this.metrics = metrics;
        metrics.gauge("prompts.quarantined", () -> quarantine.quarantinedCount(SuspectKind.PROMPT_PART));
        metrics.gauge("requests.quarantined", () -> quarantine.quarantinedCount(SuspectKind.REQUEST));
    }

    /** Sets the way to the other hosts; without one, this host relies on what it observes itself. */
    public void setSender(PeerSender newSender) {
        sender = Optional.of(newSender);
    }

    /** Sets the listener that is called when more requests must be refused from now on. */
    void onQuarantined(Runnable listener) {
        quarantineListener = listener;
    }

    // Other hosts

    /** Updates the set of live hosts, which includes this one. */
    public void hostsChanged(Set<HostId> hosts) {
        quarantine.hostsChanged(hosts);
    }

    public void receive(PeerMessage.CrashEvidence evidence) {
        quarantine.receive(evidence, System.nanoTime());
    }

    /** The evidence for a host that has just joined; empty if other hosts send it theirs. */
    public List<PeerMessage.CrashEvidence> evidenceForNewHost(HostId host) {
        return quarantine.evidenceForNewHost(host, System.nanoTime());
    }

    public void tick(long nowNanos) {
        for (QuarantineAction action : quarantine.tick(nowNanos)) {
            execute(action);
        }
    }

    private void execute(QuarantineAction action) {
        if (action instanceof QuarantineAction.SendToAll all) {
            sender.ifPresent(peers -> peers.sendToAll(all.message()));
        } else if (action instanceof QuarantineAction.SendToHost one) {
            sender.ifPresent(peers -> peers.sendTo(Set.of(one.host()), one.message()));
        } else if (action instanceof QuarantineAction.SendToSome some) {
            sender.ifPresent(peers -> peers.sendToSome(some.message(), CrashQuarantine.GOSSIP_FANOUT));
        } else if (action instanceof QuarantineAction.Quarantined quarantined) {
            logQuarantined(quarantined);
            quarantineListener.run();
        } else if (action instanceof QuarantineAction.Released released) {
            logReleased(released);
        }
    }

    private void logQuarantined(QuarantineAction.Quarantined quarantined) {
        Optional<RequestFingerprint> request = requestOf(quarantined.suspects());
        metrics.count(request.isPresent() ? "requests.quarantines" : "prompts.quarantines");
        logDecision(
                request.isPresent() ? "requestQuarantined" : "promptQuarantined",
                quarantined.suspects(),
                quarantined.crashes());
    }

    private void logReleased(QuarantineAction.Released released) {
        boolean isRequest = requestOf(released.suspects()).isPresent();
        logDecision(isRequest ? "requestReleased" : "promptReleased", released.suspects(), released.crashes());
    }

    private void logDecision(String event, Set<SuspectId> suspects, int crashes) {
        DecisionLog.Line line = log.warn(Part.PLACE, event);
        requestOf(suspects)
                .ifPresentOrElse(
                        fingerprint -> line.text("fingerprint", fingerprint.digest())
                                .text("organisation", organisationOf(fingerprint)),
                        () -> line.list(
                                "promptParts",
                                suspects.stream()
                                        .map(SuspectId::toString)
                                        .sorted()
                                        .toList()));
        line.number("crashes", crashes).write();
    }

    private static Optional<RequestFingerprint> requestOf(Set<SuspectId> suspects) {
        return suspects.stream()
                .flatMap(suspect -> suspect instanceof SuspectId.OfRequest request
                        ? Stream.of(request.fingerprint())
                        : Stream.empty())
                .findFirst();
    }

    private static String organisationOf(RequestFingerprint fingerprint) {
        return fingerprint.organisation().map(OrganisationId::value).orElse("");
    }

    // Requests

    /** Whether servers have crashed under a request, so that it must not run beside many others. */
    boolean isSuspect(RequestFingerprint fingerprint) {
        return quarantine.isSuspect(fingerprint);
    }

    /** Whether a request must be refused now. */
    Optional<CrashQuarantine.Refusal> refusal(RequestIdentity request, long nowNanos) {
        return quarantine.refusal(request, nowNanos);
    }

    /** Whether a request must be refused instead of being sent now. */
    Optional<CrashQuarantine.Refusal> refusalOfSend(RequestIdentity request, long nowNanos) {
        return quarantine.refusalOfSend(request, nowNanos);
    }

    void answerBegan(RequestIdentity request, long nowNanos) {
        quarantine.answerBegan(request, nowNanos);
    }

    void requestServed(RequestIdentity request, long nowNanos) {
        quarantine.requestServed(request, nowNanos);
    }

    void serverResponded(BackendIncarnation server, long sentNanos, long nowNanos) {
        quarantine.serverResponded(server, sentNanos, nowNanos);
    }

    void serverCrashed(BackendIncarnation server, RequestIdentity request, boolean mayBePart, long nowNanos) {
        log.info(Part.PLACE, "serverCrashed")
                .text("server", server)
                .text("fingerprint", request.fingerprint().digest())
                .text("organisation", organisationOf(request.fingerprint()))
                .list("parts", mayBePart ? request.sharedParts() : List.of())
                .write();
        quarantine.serverCrashed(server, request, mayBePart, nowNanos);
    }
}

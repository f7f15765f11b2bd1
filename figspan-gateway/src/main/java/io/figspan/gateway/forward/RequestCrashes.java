package io.figspan.gateway.forward;

import io.figspan.cluster.message.PeerMessage;
import io.figspan.cluster.quarantine.CrashQuarantine;
import io.figspan.cluster.quarantine.QuarantineAction;
import io.figspan.core.event.Part;
import io.figspan.core.id.BackendIncarnation;
import io.figspan.core.id.HostId;
import io.figspan.core.id.PromptPartId;
import io.figspan.gateway.log.DecisionLog;
import io.figspan.gateway.metrics.GatewayMetrics;
import io.figspan.gateway.peer.PeerSender;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.function.Consumer;

/**
 * Drives the quarantine of prompt parts that crash engines: passes on what this host observes, exchanges the evidence
 * with other hosts, and logs the decisions. All methods must be called on the event loop.
 */
public final class RequestCrashes {
    private final CrashQuarantine quarantine;
    private final DecisionLog log;
    private final GatewayMetrics metrics;
    private Optional<PeerSender> sender = Optional.empty();
    private Consumer<PromptPartId> quarantineListener = part -> {};

    public RequestCrashes(HostId self, DecisionLog log, GatewayMetrics metrics) {
        this.quarantine = new CrashQuarantine(self, System.nanoTime());
        this.log = log;
        this.metrics = metrics;
        metrics.gauge("prompts.quarantined", quarantine::quarantinedCount);
    }

    /** Sets the way to the other hosts; without one, this host relies on what it observes itself. */
    public void setSender(PeerSender newSender) {
        sender = Optional.of(newSender);
    }

    /** Sets the listener for parts whose prompts must be refused from now on. */
    void onQuarantined(Consumer<PromptPartId> listener) {
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
    public Optional<PeerMessage.CrashEvidence> evidenceForNewHost(HostId host) {
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
        } else if (action instanceof QuarantineAction.SendToSome some) {
            sender.ifPresent(peers -> peers.sendToSome(some.message(), CrashQuarantine.GOSSIP_FANOUT));
        } else if (action instanceof QuarantineAction.Quarantined quarantined) {
            metrics.count("prompts.quarantines");
            log.warn(Part.PLACE, "promptQuarantined")
                    .text("promptPart", quarantined.part())
                    .number("crashes", quarantined.crashes())
                    .write();
            quarantineListener.accept(quarantined.part());
        } else if (action instanceof QuarantineAction.Released released) {
            log.warn(Part.PLACE, "promptReleased")
                    .text("promptPart", released.part())
                    .number("crashes", released.crashes())
                    .write();
        }
    }

    // Requests

    /** Whether a prompt with these parts must be refused now. */
    Optional<CrashQuarantine.Refusal> refusal(List<PromptPartId> parts, long nowNanos) {
        return quarantine.refusal(parts, nowNanos);
    }

    /** Whether a prompt with these parts must be refused instead of being sent now. */
    Optional<CrashQuarantine.Refusal> refusalOfSend(List<PromptPartId> parts, long nowNanos) {
        return quarantine.refusalOfSend(parts, nowNanos);
    }

    void answerBegan(List<PromptPartId> parts, long nowNanos) {
        quarantine.answerBegan(parts, nowNanos);
    }

    void serverResponded(BackendIncarnation server, long sentNanos, long nowNanos) {
        quarantine.serverResponded(server, sentNanos, nowNanos);
    }

    void serverCrashed(BackendIncarnation server, List<PromptPartId> parts, long nowNanos) {
        if (parts.isEmpty()) {
            return;
        }
        log.info(Part.PLACE, "serverCrashed")
                .text("server", server)
                .text("parts", parts)
                .write();
        quarantine.serverCrashed(server, parts, nowNanos);
    }
}

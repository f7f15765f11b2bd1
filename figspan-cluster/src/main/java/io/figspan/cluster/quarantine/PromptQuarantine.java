package io.figspan.cluster.quarantine;

import io.figspan.cluster.message.PeerMessage;
import io.figspan.core.id.BackendIncarnation;
import io.figspan.core.id.HostId;
import io.figspan.core.id.PromptPartId;
import java.util.List;
import java.util.Optional;
import java.util.Set;

/** Decides which prompts must be kept from the engines because a part of them crashes engines. Refuses none yet. */
public final class PromptQuarantine {
    /** Hosts that receive the evidence in each round of gossip. */
    public static final int GOSSIP_FANOUT = 3;

    /** A prompt is not sent because of this part; waiting for this time may help. */
    public record Refusal(PromptPartId part, long retryAfterMs) {}

    public PromptQuarantine(HostId self, long nowNanos) {}

    /** Replaces the set of live hosts, which includes this one. */
    public void hostsChanged(Set<HostId> liveHosts) {}

    /** A server closed its connection under a prompt whose answer had not begun. */
    public void serverCrashed(BackendIncarnation server, List<PromptPartId> parts, long nowNanos) {}

    /** An answer to a prompt with these parts has begun. */
    public void answerBegan(List<PromptPartId> parts, long nowNanos) {}

    /** A server has responded to a request that was sent at {@code sentNanos}. */
    public void serverResponded(BackendIncarnation server, long sentNanos, long nowNanos) {}

    /** Another host has sent its evidence. */
    public void receive(PeerMessage.CrashEvidence evidence, long nowNanos) {}

    /** Whether a prompt with these parts must be refused instead of being sent now. */
    public Optional<Refusal> refusalOfSend(List<PromptPartId> parts, long nowNanos) {
        return Optional.empty();
    }

    /** Sends what has changed. */
    public List<QuarantineAction> tick(long nowNanos) {
        return List.of();
    }

    /** The evidence for a host that has just joined. */
    public Optional<PeerMessage.CrashEvidence> evidenceForNewHost(HostId newHost, long nowNanos) {
        return Optional.empty();
    }
}

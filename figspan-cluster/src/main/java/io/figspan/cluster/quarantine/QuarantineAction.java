package io.figspan.cluster.quarantine;

import io.figspan.cluster.message.PeerMessage;
import io.figspan.cluster.message.SuspectId;
import io.figspan.core.id.HostId;
import java.util.Set;

/** An action that {@link CrashQuarantine} requests from its driver, which executes a list of actions in order. */
public sealed interface QuarantineAction {
    /** Sends the message to all other hosts. */
    record SendToAll(PeerMessage.CrashEvidence message) implements QuarantineAction {}

    /** Sends the message to one host. */
    record SendToHost(HostId host, PeerMessage.CrashEvidence message) implements QuarantineAction {}

    /** Sends the message to {@link CrashQuarantine#GOSSIP_FANOUT} random other hosts. */
    record SendToSome(PeerMessage.CrashEvidence message) implements QuarantineAction {}

    /** The request, or prompts with all these parts, are refused from now on because of this number of crashes. */
    record Quarantined(Set<SuspectId> suspects, int crashes) implements QuarantineAction {
        public Quarantined {
            suspects = Set.copyOf(suspects);
        }
    }

    /** These suspects don't cause the crashes, because too few remain, at most this number, or others explain them. */
    record Released(Set<SuspectId> suspects, int crashes) implements QuarantineAction {
        public Released {
            suspects = Set.copyOf(suspects);
        }
    }
}

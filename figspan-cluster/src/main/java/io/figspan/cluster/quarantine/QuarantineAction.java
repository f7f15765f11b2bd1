package io.figspan.cluster.quarantine;

import io.figspan.cluster.message.PeerMessage;
import io.figspan.cluster.message.SuspectId;
import io.figspan.core.id.HostId;

/** An action that {@link CrashQuarantine} requests from its driver, which executes a list of actions in order. */
public sealed interface QuarantineAction {
    /** Sends the message to all other hosts. */
    record SendToAll(PeerMessage.CrashEvidence message) implements QuarantineAction {}

    /** Sends the message to one host. */
    record SendToHost(HostId host, PeerMessage.CrashEvidence message) implements QuarantineAction {}

    /** Sends the message to {@link CrashQuarantine#GOSSIP_FANOUT} random other hosts. */
    record SendToSome(PeerMessage.CrashEvidence message) implements QuarantineAction {}

    /** The request, or prompts with the part, are refused from now on because of this number of crashes. */
    record Quarantined(SuspectId suspect, int crashes) implements QuarantineAction {}

    /** They are admitted again, because too few crashes remain that the suspect may have caused. */
    record Released(SuspectId suspect, int crashes) implements QuarantineAction {}
}

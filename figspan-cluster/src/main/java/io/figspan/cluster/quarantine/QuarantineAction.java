package io.figspan.cluster.quarantine;

import io.figspan.cluster.message.PeerMessage;
import io.figspan.core.id.PromptPartId;

/** An action that {@link CrashQuarantine} requests from its driver, which executes a list of actions in order. */
public sealed interface QuarantineAction {
    /** Sends the message to all other hosts. */
    record SendToAll(PeerMessage.CrashEvidence message) implements QuarantineAction {}

    /** Sends the message to {@link CrashQuarantine#GOSSIP_FANOUT} random other hosts. */
    record SendToSome(PeerMessage.CrashEvidence message) implements QuarantineAction {}

    /** Prompts with the part are refused from now on, because of this number of crashes. */
    record Quarantined(PromptPartId part, int crashes) implements QuarantineAction {}

    /** Prompts with the part are admitted again, because too few crashes remain that it may have caused. */
    record Released(PromptPartId part, int crashes) implements QuarantineAction {}
}

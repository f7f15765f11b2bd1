package io.figspan.policy.affinity;

import io.figspan.core.id.PromptPartId;

/** A part of a prompt that other prompts may share, with its length in tokens. */
public record PromptPart(PromptPartId id, long tokens) {
    public PromptPart {
        tokens = Math.max(0, tokens);
    }
}

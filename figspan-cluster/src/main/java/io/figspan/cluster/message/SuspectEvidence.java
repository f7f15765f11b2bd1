package io.figspan.cluster.message;

import io.figspan.core.error.FigspanException;
import io.figspan.core.error.Location;
import io.figspan.core.error.ProblemKind;
import io.figspan.core.id.BackendIncarnation;
import io.figspan.core.id.PromptPartId;
import java.util.List;

/**
 * What a host knows of crashes of backend servers under prompts with one part.
 *
 * @param depth position of the part in its prompts, from 0; parts that more prompts share come first
 * @param isQuarantined whether the host refuses prompts with the part
 * @param ageMs time since the latest crash
 * @param crashes servers that crashed and for which the part may be the cause
 * @param refuted servers for which it is not the cause
 */
public record SuspectEvidence(
        PromptPartId part,
        int depth,
        boolean isQuarantined,
        long ageMs,
        List<BackendIncarnation> crashes,
        List<BackendIncarnation> refuted) {
    public SuspectEvidence {
        if (depth < 0 || ageMs < 0) {
            throw new FigspanException(
                    ProblemKind.INVALID_VALUE, "depth or age is negative", Location.of("part evidence"));
        }
        crashes = List.copyOf(crashes);
        refuted = List.copyOf(refuted);
    }
}

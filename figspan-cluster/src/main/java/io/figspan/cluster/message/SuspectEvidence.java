package io.figspan.cluster.message;

import io.figspan.core.error.FigspanException;
import io.figspan.core.error.Location;
import io.figspan.core.error.ProblemKind;
import io.figspan.core.id.BackendIncarnation;
import io.figspan.core.id.RequestFingerprint;
import java.util.List;

/**
 * What a host knows of crashes of backend servers that suspects may have caused.
 *
 * @param suspects those of which it knows just this, such as the parts of one prompt; never empty
 * @param isQuarantined whether the host refuses requests because of the suspect
 * @param ageMs time since the latest crash
 * @param crashes servers that crashed and for which the suspect may be the cause
 * @param refuted servers for which it is not the cause
 * @param requests some of the requests with a prompt part under which servers crashed; empty for a request
 */
public record SuspectEvidence(
        List<SuspectId> suspects,
        boolean isQuarantined,
        long ageMs,
        List<BackendIncarnation> crashes,
        List<BackendIncarnation> refuted,
        List<RequestFingerprint> requests) {
    public SuspectEvidence {
        suspects = List.copyOf(suspects);
        if (ageMs < 0 || suspects.isEmpty()) {
            throw new FigspanException(
                    ProblemKind.INVALID_VALUE,
                    "the age is negative or there is no suspect",
                    Location.of("suspect evidence"));
        }
        crashes = List.copyOf(crashes);
        refuted = List.copyOf(refuted);
        requests = List.copyOf(requests);
    }
}

package io.figspan.cluster.quarantine;

import io.figspan.cluster.message.SuspectId;
import io.figspan.core.id.PromptPartId;
import io.figspan.core.id.RequestFingerprint;
import java.util.List;

/**
 * What is known of a request that may crash backend servers.
 *
 * @param sharedParts the parts of its prompt that other prompts may share, in their order
 */
public record RequestIdentity(RequestFingerprint fingerprint, List<PromptPartId> sharedParts) {
    public RequestIdentity {
        sharedParts = List.copyOf(sharedParts);
    }

    SuspectId request() {
        return new SuspectId.OfRequest(fingerprint);
    }

    List<SuspectId> parts() {
        return sharedParts.stream().<SuspectId>map(SuspectId.OfPart::new).toList();
    }
}

package io.figspan.cluster.message;

import io.figspan.core.id.PromptPartId;
import io.figspan.core.id.RequestFingerprint;

/** Identifies what may crash backend servers. */
public sealed interface SuspectId {
    SuspectKind kind();

    /** A prompt part. */
    record OfPart(PromptPartId part) implements SuspectId {
        @Override
        public SuspectKind kind() {
            return SuspectKind.PROMPT_PART;
        }

        @Override
        public String toString() {
            return part.toString();
        }
    }

    /** A request. */
    record OfRequest(RequestFingerprint fingerprint) implements SuspectId {
        @Override
        public SuspectKind kind() {
            return SuspectKind.REQUEST;
        }

        @Override
        public String toString() {
            return fingerprint.toString();
        }
    }
}

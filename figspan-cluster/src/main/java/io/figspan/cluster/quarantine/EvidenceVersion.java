package io.figspan.cluster.quarantine;

/**
 * Counts the changes of the evidence on which decisions depend, so that the same evidence need not be decided on twice.
 */
class EvidenceVersion {
    private long number;

    /** The crashes, requests or quarantine of a suspect have changed, or a suspect was removed. */
    void changed() {
        number++;
    }

    long current() {
        return number;
    }
}

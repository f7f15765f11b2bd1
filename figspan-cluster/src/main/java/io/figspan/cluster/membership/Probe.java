package io.figspan.cluster.membership;

/** The probe in flight of this process. */
final class Probe {
    final long number;
    final Member target;
    final long startNanos;
    boolean helpersAsked;
    /** Helpers that have answered neither that they reached the target nor that they did not. */
    int missingAnswers;

    boolean reached;

    Probe(long number, Member target, long startNanos) {
        this.number = number;
        this.target = target;
        this.startNanos = startNanos;
    }
}

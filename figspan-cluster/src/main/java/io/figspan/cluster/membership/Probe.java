package io.figspan.cluster.membership;

/** The probe that this process has in flight. */
final class Probe {
    final long number;
    final Member target;
    final long startNanos;
    boolean helpersAsked;
    /** Helpers that have reported neither success nor failure yet. */
    int pendingHelpers;

    boolean reached;

    Probe(long number, Member target, long startNanos) {
        this.number = number;
        this.target = target;
        this.startNanos = startNanos;
    }
}

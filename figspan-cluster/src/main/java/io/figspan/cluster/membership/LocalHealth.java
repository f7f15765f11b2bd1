package io.figspan.cluster.membership;

/** Lifeguard's local health: grows when this process seems to be the slow one, and stretches its own timeouts. */
final class LocalHealth {
    /** Bound from the Lifeguard paper. */
    static final int MAX_SCORE = 8;

    private int score;

    void worsen() {
        score = Math.min(MAX_SCORE, score + 1);
    }

    void improve() {
        score = Math.max(0, score - 1);
    }

    int score() {
        return score;
    }

    long stretch(long nanos) {
        return nanos * (score + 1);
    }
}
